"""Whether a VM may go on taking callers with the configuration that it has.

A change is accepted only by a write to the platform's table. A VM that knows of
a recent read of the table can't have missed an accepted change for longer than
that read is old. Where nobody can read the table nobody can accept a change
either: a VM that hears more than half of the fleet say so goes on too. A VM
that knows neither stops taking callers until it hears again.
"""

from typing import Final

from ..clock import Millis
from ..membership.messages import Freshness

LEASE_MS: Final = 10_000.0
ATTESTATION_MS: Final = 5_000.0
NEVER: Final = -1e12


class ConfigurationLease:
    """Lease on the configuration in force.

    Parameters
    ----------
    now : float
        Monotonic time in milliseconds.
    """

    def __init__(self, now: Millis) -> None:
        self._read_at: Millis = NEVER
        self._down_at_by_member: dict[str, Millis] = {}
        self._is_down = False
        self._started_at = now

    def on_read(self, now: Millis) -> None:
        """Note a successful read of the newest version by this VM."""
        self._read_at = max(self._read_at, now)
        self._is_down = False

    def on_read_failed(self) -> None:
        """Note that this VM could not read the table."""
        self._is_down = True

    def on_heartbeat(self, member: str, freshness: Freshness, now: Millis) -> None:
        """Take over hearsay of a member that has the same version or an older one."""
        self._read_at = max(self._read_at, now - freshness.read_age)
        if freshness.is_platform_down:
            self._down_at_by_member[member] = now
        else:
            self._down_at_by_member.pop(member, None)

    def freshness(self, now: Millis) -> Freshness:
        """Return what this VM tells others."""
        age = min(now - self._read_at, 2.0**31)
        return Freshness(int(age), self._is_down)

    def is_held(self, now: Millis, known_members: int) -> bool:
        """Whether callers may be taken.

        Parameters
        ----------
        now : float
        known_members : int
            Number of VMs in the fleet as last known, this one included.
        """
        if now - self._read_at < LEASE_MS:
            return True
        return self._is_outage_attested(now, known_members)

    def _is_outage_attested(self, now: Millis, known_members: int) -> bool:
        if not self._is_down:
            return False
        recent = [
            at for at in self._down_at_by_member.values() if now - at < ATTESTATION_MS
        ]
        return 2 * (len(recent) + 1) > known_members
