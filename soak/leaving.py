"""Instances that leave in a soak, in the ways in which instances may do so."""

from collections.abc import Callable
from random import Random
from typing import Final

from galenaferry.network.loop import Loop

from .instances import Instance
from .store import Store
from .timing import TimingChecks

STORE_TOLD_LATE_MS: Final = 4_000.0
"""Time for which some instances announce in responses that they leave, before the store
knows."""
REFUSAL_MS: Final = 1_000.0
REFUSED_SHARE: Final = 0.6
"""Share of the calls that the store refuses for ``REFUSAL_MS`` before some departures.
That excuses nothing: the other calls tell all VMs."""
REMOVED_AFTER_MS: Final = 2_500.0
"""Time after which the row of a draining instance is removed."""
CLOSED_AFTER_MS: Final = 4_000.0


class LeavingInstances:
    """Instances that have begun to leave and whose rows still exist.

    Parameters
    ----------
    loop : Loop
    store : Store
    timing : TimingChecks
    seed : int
    add_instance : callable
        Adds an instance of a service.
    """

    def __init__(
        self,
        loop: Loop,
        store: Store,
        timing: TimingChecks,
        seed: int,
        add_instance: Callable[[str], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._timing = timing
        self._random = Random(seed)
        self._add_instance = add_instance
        self._leaving: list[Instance] = []

    def rows(self) -> dict[str, object]:
        """Return the rows of the instances by their names."""
        return {instance.name: instance.row("draining") for instance in self._leaving}

    def replace(self, first: Instance, instances: list[Instance]) -> str:
        """Let an instance leave, at times with all of its service but one.

        They are taken out of ``instances``, and as many are added. In half of the cases
        they never report that they drain, but are removed at once; then the store
        refuses some calls before. Returns how they leave.
        """
        leaving = self._choose(first, instances)
        for instance in leaving:
            instances.remove(instance)
            self._leaving.append(instance)
            instance.is_leaving = True
            self._add_instance(instance.service)
        names = ", ".join(instance.name for instance in leaving)
        # Half of them tell the store late, when responses have said it for long.
        delay_ms = self._random.choice((0.0, STORE_TOLD_LATE_MS))
        if self._random.random() < 0.5:
            self._loop.after(delay_ms, lambda: self._report_draining(leaving))
            removed_after = delay_ms + REMOVED_AFTER_MS
            self._loop.after(removed_after, lambda: self._remove(leaving))
            text = f"{names} leaves"
        else:
            self._loop.after(delay_ms, self._refuse_calls)
            removed_after = delay_ms + 2.0 * REFUSAL_MS * self._random.random()
            self._loop.after(removed_after, lambda: self._remove_at_once(leaving))
            text = f"{names} leaves without a report, calls to the store refused"
        for instance in leaving:
            self._loop.after(removed_after + CLOSED_AFTER_MS, instance.close)
        return text

    def _choose(self, first: Instance, instances: list[Instance]) -> list[Instance]:
        others = [
            instance
            for instance in instances
            if instance.service == first.service and instance is not first
        ]
        return [first, *others[1:]] if self._random.random() < 0.5 else [first]

    def _refuse_calls(self) -> None:
        self._store.refused_share = REFUSED_SHARE
        self._loop.after(REFUSAL_MS, lambda: setattr(self._store, "refused_share", 0.0))

    def _report_draining(self, instances: list[Instance]) -> None:
        for instance in instances:
            self._store.put("servers", instance.name, instance.row("draining"))
            self._timing.on_instance_draining(instance.name, self._loop.clock.now())

    def _remove_at_once(self, instances: list[Instance]) -> None:
        self._remove(instances)
        for instance in instances:
            self._timing.on_instance_draining(instance.name, self._loop.clock.now())

    def _remove(self, instances: list[Instance]) -> None:
        for instance in instances:
            self._leaving.remove(instance)
            self._store.put("servers", instance.name, None)
