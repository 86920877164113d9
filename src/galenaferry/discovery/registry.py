"""Registry of the instances in service, without any I/O.

A row that disappears during an outage of the store or shortly after may have
expired only because its instance could not renew it. Such an instance is kept for a
grace period in which a live instance would be listed again.
"""

from typing import Final, NamedTuple

from ..backends.messages import Instance
from ..clock import Millis

RELIST_GRACE_MS: Final = 2_300.0
"""Grace period. Live instances are listed again within two seconds of the end of an
outage."""


class StoreAvailability(NamedTuple):
    """Whether the store responds to this VM, and when it last failed.

    ``failed_at`` is a monotonic time in milliseconds, None if it never failed.
    """

    is_unavailable: bool
    failed_at: Millis | None


class InstanceRegistry:
    """Instances by the key of their row in the store."""

    def __init__(self) -> None:
        self._instance_by_key: dict[str, Instance] = {}
        self._expires_at_by_key: dict[str, Millis] = {}

    def put(self, key: str, instance: Instance) -> None:
        """Add or update an instance; ends its grace period."""
        self._instance_by_key[key] = instance
        self._expires_at_by_key.pop(key, None)

    def remove(self, key: str, availability: StoreAvailability, now: Millis) -> None:
        """Handle the removal of a row, with a grace period around an outage."""
        if key not in self._instance_by_key:
            return
        failed_at = availability.failed_at
        was_recently_unavailable = (
            failed_at is not None and now - failed_at < RELIST_GRACE_MS
        )
        if availability.is_unavailable or was_recently_unavailable:
            self._expires_at_by_key[key] = now + RELIST_GRACE_MS
        else:
            del self._instance_by_key[key]

    def discard(self, key: str) -> None:
        """Remove an instance without a grace period, such as after an invalid row."""
        self._instance_by_key.pop(key, None)
        self._expires_at_by_key.pop(key, None)

    def instances(self, now: Millis) -> tuple[Instance, ...]:
        """Return the instances, after removing those whose grace period is over."""
        for key, expires_at in list(self._expires_at_by_key.items()):
            if expires_at <= now:
                self.discard(key)
        return tuple(self._instance_by_key.values())

    def next_expiry(self) -> Millis | None:
        """Return when the next grace period ends, None if there is none."""
        return min(self._expires_at_by_key.values(), default=None)
