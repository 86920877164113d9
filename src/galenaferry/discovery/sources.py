"""Chooses the VM that is asked for the changes of a table, without any I/O."""

from collections.abc import Callable
from random import Random
from typing import Final

from ..clock import Millis
from .messages import StoreVersion

MAX_SOURCES: Final = 64
"""VMs whose versions are remembered, the latest that told of theirs."""
EXCLUDED_MS: Final[Millis] = 2_000.0
"""Time in which a VM that did not answer is asked only if there is no other one."""


class PeerSources:
    """Versions of a table that other VMs have, as far as they told this one.

    Parameters
    ----------
    is_near : callable
        Whether the VM at an address is in this VM's availability zone.
    random : Random
    """

    def __init__(self, is_near: Callable[[str], bool], random: Random) -> None:
        self._is_near = is_near
        self._random = random
        self._version_by_address: dict[str, StoreVersion] = {}
        self._failed_at_by_address: dict[str, Millis] = {}

    def on_version(self, address: str, version: StoreVersion) -> None:
        """Record that the VM at ``address`` has a version of the table."""
        self._version_by_address.pop(address, None)
        self._version_by_address[address] = version
        if len(self._version_by_address) > MAX_SOURCES:
            oldest = next(iter(self._version_by_address))
            del self._version_by_address[oldest]
            self._failed_at_by_address.pop(oldest, None)

    def on_failure(self, address: str, now: Millis) -> None:
        """Record that the VM at ``address`` did not send its changes."""
        if address in self._version_by_address:
            self._failed_at_by_address[address] = now

    def choose(self, after: StoreVersion, now: Millis) -> str | None:
        """Return the address of a VM with a version newer than ``after``.

        VMs that answer come before those that lately did not, those of this VM's zone
        before others, and newer versions before older ones.
        """
        newer = [
            address
            for address, version in self._version_by_address.items()
            if version > after
        ]
        if not newer:
            return None
        return min(newer, key=lambda address: self._cost(address, now))

    def _cost(self, address: str, now: Millis) -> tuple[float, ...]:
        failed_at = self._failed_at_by_address.get(address)
        is_excluded = failed_at is not None and now - failed_at < EXCLUDED_MS
        version = self._version_by_address[address]
        return (
            is_excluded,
            (failed_at or 0.0) if is_excluded else 0.0,
            not self._is_near(address),
            -version.era,
            -version.counter,
            self._random.random(),
        )
