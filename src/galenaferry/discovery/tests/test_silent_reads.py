"""Reads from the store that never get an answer."""

from result import Err

from galenaferry.discovery.messages import TableError
from galenaferry.discovery.tests.builders import at, table_update
from galenaferry.discovery.tests.test_shared_table import TWO, make_reader
from galenaferry.platform.store import TIMEOUT_MS

LONGEST_SILENCE_MS = 3_000.0 + 2_000.0
"""Time in which a VM whose connections went silent is in touch again, and that in which
a configuration must be in force."""


def end_silent_read(bench):
    """Let the client of the store give up on the pending read."""
    bench.run_for(bench.source.waits[-1] + TIMEOUT_MS)
    bench.source.calls[-1][2](Err(TableError("no answer in time")))


def test_a_change_is_read_in_time_though_the_connections_of_all_readers_went_silent():
    bench = make_reader()
    silent_since = bench.clock.now()
    end_silent_read(bench)
    assert bench.clock.now() - silent_since <= LONGEST_SILENCE_MS


def test_a_read_made_at_the_end_of_a_silent_outage_is_followed_by_another_one():
    bench = make_reader()
    calls = len(bench.source.calls)
    end_silent_read(bench)
    bench.run_for(150.0)
    assert len(bench.source.calls) == calls + 1
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.changes[-1] == TWO
    assert bench.follower.version == at(12)
