"""A follower whose changes can't be applied; it must go on reading all the same."""

import pytest
from result import Ok

from galenaferry.discovery.messages import TableNotice
from galenaferry.discovery.tests.builders import FollowerBench, at, table_update
from galenaferry.discovery.tests.test_shared_table import ONE, TWO, make_non_reader


class ListenerError(Exception):
    """Raised by the listener of these tests."""


def fail_once(bench):
    """Let the next call of the listener raise an exception."""
    listener = bench.follower._on_change

    def on_change(rows):
        bench.follower._on_change = listener
        raise ListenerError

    bench.follower._on_change = on_change


@pytest.mark.parametrize("is_first", [True, False])
def test_a_reader_goes_on_reading_after_a_change_that_could_not_be_applied(is_first):
    """Guards against a reader that tells its zone for good that there is no news."""
    bench = FollowerBench(is_shared=True)
    if not is_first:
        bench.source.answer(table_update(10, True, config=b"one"))
        bench.run_for(500.0)
    fail_once(bench)
    calls = len(bench.source.calls)
    with pytest.raises(ListenerError):
        bench.source.answer(table_update(12, is_first, config=b"two"))
    bench.run_for(500.0)
    assert len(bench.source.calls) == calls + 1
    bench.source.answer(table_update(14, config=b"one"))
    assert bench.changes[-1] == ONE


def test_a_vm_takes_later_notices_after_a_change_that_could_not_be_applied():
    """Guards against a VM that misses all later notices."""
    bench = make_non_reader()
    fail_once(bench)
    with pytest.raises(ListenerError):
        bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(10), at(12), TWO))
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(12), at(14), ONE))
    assert bench.changes[-1] == ONE


def test_a_vm_fetches_later_changes_after_one_that_could_not_be_applied():
    """Guards against a VM that asks no other one for changes any more."""
    bench = make_non_reader()
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(12), at(12), ()))
    bench.run_for(150.0)
    fail_once(bench)
    with pytest.raises(ListenerError):
        bench.peer_fetches[0][1](Ok(table_update(12, config=b"two")))
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(14), at(14), ()))
    bench.run_for(150.0)
    assert len(bench.peer_fetches) == 2
