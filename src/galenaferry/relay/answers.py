"""Names the instance of an answer that passes through two VMs.

What an instance announces binds each VM that passes its answer on, and the VM that the
caller is connected to does not choose the instance.
"""

from typing import Final

from ..backends.messages import Instance
from ..framing.messages import Header, ResponseHead
from ..health.messages import instance_key
from .origin import Origin, parse_key, render_key

INSTANCE_HEADER: Final = b"galenaferry-relayed-instance"


def instance_headers(origin: Origin, instance: Instance | None) -> tuple[Header, ...]:
    """Return the header that names an instance, empty for a caller's request."""
    if not origin.is_relayed or instance is None:
        return ()
    return ((INSTANCE_HEADER, render_key(instance_key(instance.name))),)


def read_instance_key(head: ResponseHead) -> int | None:
    """Return the key of the instance that another VM names, None if it names none."""
    value = head.header(INSTANCE_HEADER)
    return None if value is None else parse_key(value)


def without_instance(head: ResponseHead) -> ResponseHead:
    """Return a head that names no instance, also if the instance itself does."""
    if head.header(INSTANCE_HEADER) is None:
        return head
    headers = tuple(row for row in head.headers if row[0] != INSTANCE_HEADER)
    return head._replace(headers=headers)
