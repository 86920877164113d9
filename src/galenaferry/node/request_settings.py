"""Settings of the request path of a node."""

from typing import Final

from ..requests.interface import HeaderNames, RequestSettings

MAX_BUFFERED_RESPONSE_BYTES: Final = 1 << 20
"""Larger responses are streamed and can't be retried when they are truncated."""


def make_request_settings(
    names: HeaderNames, has_admission_control: bool = False
) -> RequestSettings:
    """Return the settings for a platform with these header names."""
    return RequestSettings(
        names=names,
        buffer_limit_bytes=MAX_BUFFERED_RESPONSE_BYTES,
        is_half_close_disconnect=True,
        shed_retry_timeout=0.0,
        is_shed_counted_as_attempt=True,
        is_503_only_for_not_run=True,
        is_deadline_extended_by_uploads=False,
        is_request_id_echoed=True,
        are_bodies_held=has_admission_control,
        certifying_statuses=None,
    )
