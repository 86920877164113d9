"""Until when a copy of a table is known to be the newest one."""

from galenaferry.discovery.confirmation import NEVER_CONFIRMED_MS
from galenaferry.discovery.messages import TableNotice
from galenaferry.discovery.news import MAX_NEWS_AGE_MS
from galenaferry.discovery.tests.builders import FollowerBench, at, table_update
from galenaferry.discovery.tests.test_news import refuse_fetches
from galenaferry.discovery.tests.test_shared_table import (
    TIMING,
    TWO,
    deliver_notices,
    make_non_reader,
    make_reader,
)

MAX_AGE_MS = TIMING.max_confirmation_age


def is_confirmed_after(interval, notice=None):
    """Return whether a VM without news of the store takes its copy for the newest."""
    bench = make_non_reader()
    bench.run_for(interval)
    if notice is not None:
        bench.follower.on_notice("10.0.0.1:7000", notice)
    return bench.follower.is_confirmed


def test_a_copy_is_not_taken_for_the_newest_without_news_of_the_store():
    assert is_confirmed_after(MAX_AGE_MS - 1_500.0)
    assert not is_confirmed_after(MAX_AGE_MS + 10.0)


def test_a_reader_whose_reads_hang_does_not_confirm_the_copies_of_others():
    waiting = 2.0 * MAX_AGE_MS
    notice = TableNotice(at(10), at(10), (), confirmed_ago=300.0)
    assert is_confirmed_after(waiting, notice)
    assert not is_confirmed_after(waiting, notice._replace(confirmed_ago=waiting))
    # A VM of an earlier version doesn't tell.
    assert is_confirmed_after(waiting, notice._replace(confirmed_ago=None))


def test_the_age_of_a_confirmation_is_passed_on_with_notices():
    bench = make_reader()
    bench.run_for(2_100.0)
    assert 2_000.0 <= bench.notices[-1].confirmed_ago <= 2_500.0


def test_a_vm_that_was_paused_does_not_take_its_copy_for_the_newest():
    bench = make_non_reader()
    assert bench.follower.is_confirmed
    bench.follower.refresh()
    assert not bench.follower.is_confirmed


def test_a_store_that_lags_behind_does_not_confirm_a_newer_copy():
    bench = make_reader()
    notice = TableNotice(at(10), at(12), TWO, confirmed_ago=0.0)
    bench.follower.on_notice("10.0.9.1:7000", notice)
    bench.run_for(MAX_AGE_MS + 10.0)
    bench.source.answer(table_update(11))
    assert not bench.follower.is_confirmed
    bench.run_for(10.0)
    bench.source.answer(table_update(12))
    assert bench.follower.is_confirmed


def test_a_version_that_no_vm_has_does_not_keep_a_copy_unconfirmed_for_ever():
    bench = make_non_reader()
    bench.follower.on_peer_version("10.0.0.9:7000", at(50))
    answered = 0
    while not bench.follower.is_confirmed:
        deliver_notices(bench, 200.0)
        answered = refuse_fetches(bench, answered)
        if bench.follower._reads.is_reading:
            bench.source.answer(table_update(20))
        assert bench.clock.now() < 2.0 * MAX_NEWS_AGE_MS
    deliver_notices(bench, 5_000.0)
    asked = len(bench.peer_fetches), len(bench.source.calls)
    deliver_notices(bench, 20_000.0)
    assert (len(bench.peer_fetches), len(bench.source.calls)) == asked


def test_operators_see_for_how_long_the_store_has_not_confirmed_a_copy():
    bench = FollowerBench(is_shared=True)
    assert bench.follower.confirmed_ago == NEVER_CONFIRMED_MS
    bench.source.answer(table_update(10, True, config=b"one"))
    assert bench.follower.confirmed_ago == 0.0
    bench.run_for(700.0)
    assert bench.follower.confirmed_ago == 700.0


def test_an_answer_that_a_busy_vm_reads_late_confirms_only_until_it_was_sent():
    bench = make_reader()
    wait = bench.source.waits[-1]
    # The process stands still while the answer arrives.
    bench.clock.advance(wait + 900.0)
    bench.source.answer(table_update(10))
    assert bench.follower.confirmed_ago >= 900.0
    assert bench.notices[-1].confirmed_ago >= 900.0
