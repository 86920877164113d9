"""Lease that lets a VM serve requests with the configuration that it has.

A change is accepted only by a write to the platform's table. A VM that knows of
a recent read of the table can't have missed an accepted change for longer than
the age of that read. While no VM can read the table, no change can be accepted
either, so a VM that can't read it keeps serving while most of the fleet reports the
outage. In all other cases it stops accepting requests until the lease is renewed.
"""

from typing import Final

from ..clock import Millis
from ..membership.messages import Freshness

LEASE_MS: Final = 10_000.0
"""Age of the newest known read from which the lease is lost."""
NEVER_READ_MS: Final = -1e12
"""Initial time of the newest known read, so long ago that no lease is held."""
MAX_AGE_MS: Final = 2.0**31
"""Upper limit of a reported age, so that it fits into the 32 bits of a heartbeat."""


class ConfigurationLease:
    """Lease on the configuration in force; times are monotonic, in milliseconds."""

    def __init__(self) -> None:
        self._read_at: Millis = NEVER_READ_MS
        self.is_platform_down = False

    def on_read_succeeded(self, started_at: Millis) -> None:
        """Renew the lease after this VM has read the newest version.

        ``started_at`` is the time at which the read started.
        """
        self._read_at = max(self._read_at, started_at)
        self.is_platform_down = False

    def on_read_failed(self) -> None:
        """Record that this VM could not read the table."""
        self.is_platform_down = True

    def on_heartbeat(self, freshness: Freshness, now: Millis) -> None:
        """Renew the lease from a heartbeat of a member whose version is not newer."""
        self._read_at = max(self._read_at, now - freshness.read_age)

    def freshness(self, now: Millis) -> Freshness:
        """Return the age of the newest known read, for this VM's heartbeats."""
        return Freshness(int(min(now - self._read_at, MAX_AGE_MS)))

    def is_held(self, now: Millis, is_outage_confirmed: bool) -> bool:
        """Whether requests may be served.

        Parameters
        ----------
        now : float
        is_outage_confirmed : bool
            Whether most of the fleet reports that the platform is down.
        """
        if now - self._read_at < LEASE_MS:
            return True
        return self.is_platform_down and is_outage_confirmed
