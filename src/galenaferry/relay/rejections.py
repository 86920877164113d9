"""What a VM may tell another one that passes its caller's request on.

The other VM has found a route for the request and checked its sizes. Where this VM
differs, it can't know which of the two has the newer configuration or key, so it
rejects nothing.
"""

from typing import Final

from .origin import Origin

FIRST_REJECTION_STATUS: Final = 400
FIRST_FAULT_STATUS: Final = 500
UNAVAILABLE_STATUS: Final = 503


def refusal_status(origin: Origin, status: int) -> int:
    """Return the status with which a request is refused."""
    is_rejection = FIRST_REJECTION_STATUS <= status < FIRST_FAULT_STATUS
    return UNAVAILABLE_STATUS if origin.is_relayed and is_rejection else status
