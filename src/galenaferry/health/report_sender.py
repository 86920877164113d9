"""Which evidence this VM sends to which home, within a budget of datagrams."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from .evidence import LocalEvidence
from .messages import Report

DATAGRAMS_PER_SECOND: Final = 40.0
BURST_DATAGRAMS: Final = 20.0
COUNTS_PER_REPORT: Final = 32
FAILURE_REPORT_COPIES: Final = 2


class AddressedReport(NamedTuple):
    """A report and the VM that it goes to."""

    home: str
    report: Report


class _Pending(NamedTuple):
    """Evidence about one service that was not sent yet."""

    pending_since: Millis
    has_failure: bool
    addresses: frozenset[str]


HomeVmsOf = Callable[[str], tuple[str, ...]]


class ReportSender:
    """Collects changed totals by service and sends them to its homes.

    Failures go first, and twice: a lost report would make the errors of one
    moment look like errors of several. Then goes what has waited longest. Totals
    are cumulative, so that what the budget delays is not lost.
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
        """Note that the totals of an instance have changed."""
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
        """Return the reports to send now."""
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
            added_homes = [home for home in homes if home not in addresses_by_home]
            copies = FAILURE_REPORT_COPIES if pending.has_failure else 1
            if len(added_homes) * copies > self._tokens:
                continue
            self._tokens -= len(added_homes) * copies
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
