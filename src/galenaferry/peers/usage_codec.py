"""Encodes reports of usage (``quotas``) in datagrams."""

from typing import Any

from ..ini import parse_address
from ..quotas.messages import COUNT_MASK, UsageReport, VmUsage, WorkspaceUsage


def fill_usage_report(target: Any, report: UsageReport) -> None:
    """Write a report into its Cap'n Proto struct."""
    target.isForZone = report.is_for_zone
    usages = target.init("usages", len(report.usages))
    for usage_target, usage in zip(usages, report.usages):
        usage_target.address = usage.address
        usage_target.incarnation = usage.incarnation
        usage_target.sequence = usage.sequence
        rows = usage_target.init("rows", len(usage.rows))
        for row_target, row in zip(rows, usage.rows):
            row_target.key = row.key
            row_target.total = row.total & COUNT_MASK
            row_target.recent = min(row.recent, COUNT_MASK)


def read_usage_report(source: Any) -> UsageReport:
    """Return the report in a Cap'n Proto struct.

    Raises
    ------
    ValueError
        When the address of a VM is none.
    """
    return UsageReport(
        tuple(_read_usage(usage) for usage in source.usages), source.isForZone
    )


def _read_usage(source: Any) -> VmUsage:
    parse_address(source.address)
    return VmUsage(
        address=source.address,
        incarnation=source.incarnation,
        sequence=source.sequence,
        rows=tuple(
            WorkspaceUsage(row.key, row.total, row.recent) for row in source.rows
        ),
    )
