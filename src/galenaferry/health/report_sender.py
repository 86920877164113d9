"""Reports of this VM to the home VMs, within a datagram budget."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from .evidence import LocalEvidence
from .messages import Report

DATAGRAMS_PER_SECOND: Final = 40.0
"""Refill rate of the token bucket."""
BURST_DATAGRAMS: Final = 20.0
"""Capacity of the token bucket."""
COUNTS_PER_REPORT: Final = 32
FAILURE_REPORT_COPIES: Final = 2
"""Number of times that a report with a failure is sent."""


class AddressedReport(NamedTuple):
    """A report and the address of the home VM that it goes to."""

    home: str
    report: Report


class _Pending(NamedTuple):
    """Instances of one service whose totals changed since their last report."""

    pending_since: Millis
    has_failure: bool
    addresses: frozenset[str]


HomeVmsOf = Callable[[str], tuple[str, ...]]


class ReportSender:
    """Collects instances with changed totals and reports them to the home VMs.

    Services with failures are reported first, and in two copies: failures of a lost
    report arrive with a later one, and then errors of one moment look like errors of
    several ticks, which an alarm needs (see ``detector.Alternative``). The others
    follow, the longest waiting first. Totals are cumulative, so that nothing is lost by
    a report that the budget delays.

    Parameters
    ----------
    evidence : LocalEvidence
    home_vms_of : callable
        Returns the home VMs of a service.
    """

    def __init__(self, evidence: LocalEvidence, home_vms_of: HomeVmsOf) -> None:
        self._evidence = evidence
        self._home_vms_of = home_vms_of
        self._pending_by_service: dict[str, _Pending] = {}
        self._tokens = BURST_DATAGRAMS
        self._refilled_at: Millis = 0.0

    def mark_changed(
        self, service: str, address: str, is_failure: bool, now: Millis
    ) -> None:
        """Schedule a report of the totals of an instance."""
        pending = self._pending_by_service.get(service)
        if pending is None:
            pending = _Pending(now, is_failure, frozenset((address,)))
            self._pending_by_service[service] = pending
            return
        if is_failure and not pending.has_failure:
            pending = pending._replace(has_failure=True)
        if address not in pending.addresses:
            pending = pending._replace(addresses=pending.addresses | {address})
        self._pending_by_service[service] = pending

    def flush(self, now: Millis) -> list[AddressedReport]:
        """Return the reports that the budget allows now."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        refill = elapsed * DATAGRAMS_PER_SECOND / 1000.0
        self._tokens = min(BURST_DATAGRAMS, self._tokens + refill)
        order = sorted(
            self._pending_by_service.items(),
            key=lambda item: (not item[1].has_failure, item[1].pending_since),
        )
        addresses_by_home: dict[str, list[str]] = {}
        failing_homes: set[str] = set()
        for service, pending in order:
            homes = self._home_vms_of(service)
            new_homes = [home for home in homes if home not in addresses_by_home]
            copies = FAILURE_REPORT_COPIES if pending.has_failure else 1
            if len(new_homes) * copies > self._tokens:
                continue
            self._tokens -= len(new_homes) * copies
            if pending.has_failure:
                failing_homes.update(homes)
            del self._pending_by_service[service]
            for home in homes:
                addresses_by_home.setdefault(home, []).extend(pending.addresses)
        return [
            AddressedReport(home, report)
            for home, addresses in addresses_by_home.items()
            for report in self._reports(addresses)
            for _ in range(FAILURE_REPORT_COPIES if home in failing_homes else 1)
        ]

    def _reports(self, addresses: list[str]) -> list[Report]:
        counts = [self._evidence.counts(address) for address in addresses]
        return [
            Report(tuple(counts[start : start + COUNTS_PER_REPORT]))
            for start in range(0, len(counts), COUNTS_PER_REPORT)
        ]
