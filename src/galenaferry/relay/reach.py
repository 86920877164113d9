"""Decides whether this VM reaches the instances, without network or clock.

A failure at one instance says little: the instance may be down. It makes the VM ask
another one for an answer, and if that fails many, of all services. If none answers, the
VM's own links are cut. Later checks notice the end of the cut; connections to instances
are then built up again over some time.
"""

from typing import Final

from ..clock import Millis

CHECKED_INSTANCES: Final = 16
"""Instances, chosen at random among all services, that one check asks if the first one
does not answer. Some of them live, also while most instances of a service are down."""
MIN_CHECK_INTERVAL_MS: Final[Millis] = 500.0
CONTACT_MS: Final[Millis] = 1_000.0
"""Time after an answer in which failures other than of connecting need no check, and in
which a VM that is cut off still uses its open connections."""
CHECKS_TO_RECOVER: Final = 2
"""Successful checks in a row that end a cut."""
RETURN_MS: Final[Millis] = 2_000.0
"""Time after a cut over which the share of direct requests grows, since many VMs may
come back at once."""


class OwnReach:
    """Whether this VM reaches instances; times are monotonic, in milliseconds."""

    def __init__(self) -> None:
        self.is_cut_off = False
        self._contact_at: Millis = 0.0
        self._check_started_at: Millis = -MIN_CHECK_INTERVAL_MS
        self._successful_checks = 0
        self._cut_ended_at: Millis = -RETURN_MS

    def on_contact(self, now: Millis) -> None:
        """Handle an answer of an instance."""
        self._contact_at = now

    def has_contact(self, now: Millis) -> bool:
        """Whether an instance has answered lately, on a connection that still works."""
        return now <= self._contact_at + CONTACT_MS

    def needs_check(self, is_connect_failure: bool, now: Millis) -> bool:
        """Return whether a failure at an instance calls for a check now."""
        if now < self._check_started_at + MIN_CHECK_INTERVAL_MS:
            return False
        return is_connect_failure or not self.has_contact(now)

    def on_check_started(self, now: Millis) -> None:
        """Handle the start of a check."""
        self._check_started_at = now

    def on_checked(self, is_answered: bool, now: Millis) -> bool:
        """Handle whether an instance answered; return whether the state changed."""
        was_cut_off = self.is_cut_off
        if not is_answered:
            self.is_cut_off = True
            self._successful_checks = 0
        elif was_cut_off:
            self._successful_checks += 1
            if self._successful_checks >= CHECKS_TO_RECOVER:
                self.is_cut_off = False
                self._successful_checks = 0
                self._cut_ended_at = now
        return self.is_cut_off != was_cut_off

    def direct_share(self, now: Millis) -> float:
        """Return the share of requests that may go to instances directly."""
        if self.is_cut_off:
            return 0.0
        return min(1.0, (now - self._cut_ended_at) / RETURN_MS)
