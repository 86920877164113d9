"""Treats the tests that KNOWN-RED.txt lists as expected failures and prints them.

A listed test that passes fails the run, so that its entry is removed with the fix.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
PREFIX = "test:"


def listed_tests() -> list[str]:
    """Return the node ids in the lines of KNOWN-RED.txt that begin with ``PREFIX``."""
    lines = KNOWN_RED.read_text().splitlines()
    return [line[len(PREFIX) :].strip() for line in lines if line.startswith(PREFIX)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests, with all of their parameters unless one is named."""
    listed = set(listed_tests())
    for item in items:
        if {item.nodeid, item.nodeid.partition("[")[0]} & listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests that failed."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}")
