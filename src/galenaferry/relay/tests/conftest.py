"""No VM rejects a proper request in any test of this folder."""

from galenaferry.tests.rejections import no_proper_request_is_rejected  # noqa: F401
