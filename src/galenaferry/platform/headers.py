"""Names of headers towards callers and instances."""

from typing import Final

from ..requests.interface import HeaderNames

HEADER_NAMES: Final = HeaderNames(
    request_id=b"galenaferry-request-id",
    # The time that the caller still waits, not a point in time.
    time_left=b"galenaferry-request-deadline-ms",
    attempt=b"",
    draining=b"",
    not_run=(b"galenaferry-not-executed", b""),
    # Not a signature of ours: the instance's mark on each of its answers.
    signature=b"galenaferry-response-signature",
    expected_instance=b"galenaferry-expected-instance",
)
