"""The instances that a VM takes for present: a pure decision.

An entry that disappears while the store is away, or just after, may have lapsed only
because its instance could not renew it. Such an instance is kept until the time in
which a living one is listed again has passed.
"""

from typing import Final, NamedTuple

from ..backends.messages import Instance
from ..clock import Millis

RELIST_GRACE_MS: Final = 2_300.0
"""Living instances are listed again within two seconds of the store's return."""


class StoreAvailability(NamedTuple):
    """How the store has answered this VM; times in milliseconds."""

    is_unavailable: bool
    failed_at: Millis | None


class InstanceRegistry:
    """Instances by the key of their entry."""

    def __init__(self) -> None:
        self._instance_by_key: dict[str, Instance] = {}
        self._expires_at_by_key: dict[str, Millis] = {}

    def put(self, key: str, instance: Instance) -> None:
        """Take over an entry."""
        self._instance_by_key[key] = instance
        self._expires_at_by_key.pop(key, None)

    def remove(self, key: str, availability: StoreAvailability, now: Millis) -> None:
        """Take over that an entry is gone."""
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
        """Drop an entry that can't be read any more."""
        self._instance_by_key.pop(key, None)
        self._expires_at_by_key.pop(key, None)

    def instances(self, now: Millis) -> tuple[Instance, ...]:
        """Return the present instances, without those whose time is over."""
        for key, expires_at in list(self._expires_at_by_key.items()):
            if expires_at <= now:
                self.discard(key)
        return tuple(self._instance_by_key.values())

    def next_expiry(self) -> Millis | None:
        """Return when the next kept instance is dropped, None for none."""
        return min(self._expires_at_by_key.values(), default=None)
