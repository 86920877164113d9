"""No VM denies a proper request in any test of this folder."""

from galenaferry.tests.denials import no_proper_request_is_denied  # noqa: F401
