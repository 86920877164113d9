"""Registry of the instances in service, without any I/O.

A row that disappears during an outage of the store or shortly after may have
expired only because its instance could not renew it. Such an instance is kept until a
live instance would be listed again, counted from the end of the outage. It may also
have left: as long as a service has enough others, it does without. In all other cases
a removed row says that the instance has left, and it is not used any more, whatever
trouble single VMs have with their reads.

After the store was restored from an older copy, its rows may be those of instances that
have left since, or are leaving. An instance that announced its end does not take it
back: only a new start of it, which has another name, is used again. A row that was
removed counts again once its instance has reported since.
"""

import math
from collections import Counter
from typing import Final, NamedTuple, TypeVar

from ..backends.messages import Instance
from ..clock import Millis

T = TypeVar("T")

RELIST_GRACE_MS: Final = 2_300.0
"""Grace period, from the end of an outage of the store. Live instances are listed again
within two seconds of it."""
MAX_UNUSED_SHARE: Final = 0.3
"""Share of a service's instances that are not used during their grace period. If there
are more, the store itself was away, and the service needs them."""
MAX_DEPARTED: Final = 4_000
"""Number of departed instances whose names are kept, those of some hours."""


class StoreAvailability(NamedTuple):
    """Whether the store is away, and when its latest outage ended.

    ``back_at`` is a monotonic time in milliseconds, None if there was no outage.
    ``unchanged_until`` is one at which the store did not have the changes yet that are
    applied now.
    """

    is_away: bool
    back_at: Millis | None
    unchanged_until: Millis = -math.inf


class InstanceRegistry:
    """Instances by the key of their row in the store."""

    def __init__(self) -> None:
        self._instance_by_key: dict[str, Instance] = {}
        self._expires_at_by_key: dict[str, Millis] = {}
        self._leaving_names: dict[str, None] = {}
        self._removed_sequence_by_name: dict[str, int] = {}

    def put(self, key: str, instance: Instance) -> bool:
        """Add or update an instance; ends its grace period.

        Returns False, without an effect, if the row is older than its removal.
        """
        name = instance.name
        removed_sequence = self._removed_sequence_by_name.get(name)
        if removed_sequence is not None and instance.sequence <= removed_sequence:
            return False
        if instance.is_leaving:
            _remember(self._leaving_names, name, None)
        elif name in self._leaving_names:
            instance = instance._replace(is_leaving=True)
        self._removed_sequence_by_name.pop(name, None)
        self._instance_by_key[key] = instance
        self._expires_at_by_key.pop(key, None)
        return True

    def remove(self, key: str, availability: StoreAvailability, now: Millis) -> None:
        """Handle the removal of a row, with a grace period around an outage."""
        if key not in self._instance_by_key:
            return
        back_at = now if availability.is_away else availability.back_at
        if back_at is not None and now < back_at + RELIST_GRACE_MS:
            self._expires_at_by_key[key] = back_at + RELIST_GRACE_MS
        else:
            self._forget(key)

    def discard(self, key: str) -> None:
        """Remove an instance without a grace period, such as after an invalid row."""
        self._instance_by_key.pop(key, None)
        self._expires_at_by_key.pop(key, None)

    def instances(self, now: Millis) -> tuple[Instance, ...]:
        """Return the instances, after removing those whose grace period is over."""
        for key, expires_at in list(self._expires_at_by_key.items()):
            if expires_at <= now:
                self._forget(key)
        unused_keys = self._unused_keys()
        return tuple(
            instance._replace(is_unlisted=True)
            if key in self._expires_at_by_key
            else instance
            for key, instance in self._instance_by_key.items()
            if key not in unused_keys
        )

    def _unused_keys(self) -> set[str]:
        """Return the instances in their grace period that their services can spare."""
        if not self._expires_at_by_key:
            return set()
        count_by_service = Counter(i.service for i in self._instance_by_key.values())
        keys_by_service: dict[str, set[str]] = {}
        for key in self._expires_at_by_key:
            service = self._instance_by_key[key].service
            keys_by_service.setdefault(service, set()).add(key)
        return {
            key
            for service, keys in keys_by_service.items()
            if len(keys) <= MAX_UNUSED_SHARE * count_by_service[service]
            for key in keys
        }

    def _forget(self, key: str) -> None:
        """Remove an instance that has left, and remember its latest report."""
        instance = self._instance_by_key.pop(key)
        self._expires_at_by_key.pop(key, None)
        _remember(self._removed_sequence_by_name, instance.name, instance.sequence)

    def used_until(self, key: str) -> Millis | None:
        """Return the end of the grace period of an instance that is used in it."""
        if key in self._unused_keys():
            return None
        return self._expires_at_by_key.get(key)

    def next_expiry(self) -> Millis | None:
        """Return when the next grace period ends, None if there is none."""
        return min(self._expires_at_by_key.values(), default=None)


def _remember(by_name: dict[str, T], name: str, value: T) -> None:
    """Add an entry and drop the oldest ones above ``MAX_DEPARTED``."""
    by_name.pop(name, None)
    by_name[name] = value
    while len(by_name) > MAX_DEPARTED:
        del by_name[next(iter(by_name))]
