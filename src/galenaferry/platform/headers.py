"""Names of the headers in messages to and from callers and instances."""

from typing import Final

from ..requests.interface import HeaderNames

HEADER_NAMES: Final = HeaderNames(
    request_id=b"galenaferry-request-id",
    # The remaining time until the caller gives up, not a point in time.
    time_left=b"galenaferry-request-deadline-ms",
    attempt=b"",
    draining=b"server-leaving",
    # In requests per second from all VMs together, named in each response.
    request_limit=b"server-limit",
    not_run=(b"galenaferry-not-executed", b""),
    # Set by the instance on each of its responses, not by the proxy.
    signature=b"galenaferry-response-signature",
    expected_instance=b"galenaferry-expected-instance",
    key=b"galenaferry-key",
    workspace=b"galenaferry-tenant",
)
