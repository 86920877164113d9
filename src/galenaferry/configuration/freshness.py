"""Whether a VM may go on taking callers with the configuration that it has.

A change is accepted only by a write to the platform's table. A VM that knows of
a recent read of the table can't have missed an accepted change for longer than
that read is old. Where nobody can read the table nobody can accept a change
either: a VM that hears most of the fleet say so goes on too. A VM that knows
neither stops taking callers until it hears again.
"""

from typing import Final

from ..clock import Millis
from ..membership.messages import Freshness

LEASE_MS: Final = 10_000.0
NEVER_READ_MS: Final = -1e12
MAX_AGE_MS: Final = 2.0**31


class ConfigurationLease:
    """Lease on the configuration in force; times are monotonic milliseconds."""

    def __init__(self) -> None:
        self._read_at: Millis = NEVER_READ_MS
        self.is_platform_down = False

    def on_read_succeeded(self, now: Millis) -> None:
        """Note a successful read of the newest version by this VM."""
        self._read_at = max(self._read_at, now)
        self.is_platform_down = False

    def on_read_failed(self) -> None:
        """Note that this VM could not read the table."""
        self.is_platform_down = True

    def on_heartbeat(self, freshness: Freshness, now: Millis) -> None:
        """Take over hearsay of a member that has the same version or an older one."""
        self._read_at = max(self._read_at, now - freshness.read_age)

    def freshness(self, now: Millis) -> Freshness:
        """Return what this VM tells others."""
        return Freshness(int(min(now - self._read_at, MAX_AGE_MS)))

    def is_held(self, now: Millis, is_outage_confirmed: bool) -> bool:
        """Whether callers may be taken.

        Parameters
        ----------
        now : float
        is_outage_confirmed : bool
            Whether most of the fleet says that the platform is down.
        """
        if now - self._read_at < LEASE_MS:
            return True
        return self.is_platform_down and is_outage_confirmed
