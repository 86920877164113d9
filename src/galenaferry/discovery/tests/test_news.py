"""Changes of a shared table that a VM gets from others, or that it lacks."""

from result import Err, Ok

from galenaferry.discovery.follower import (
    NEWS_READ_DELAY_MS,
)
from galenaferry.discovery.messages import TableError, TableNotice
from galenaferry.discovery.news import MAX_NEWS_AGE_MS
from galenaferry.discovery.peer_fetches import FETCH_SPREAD_MS, RETRY_MS
from galenaferry.discovery.tests.builders import FollowerBench, at, table_update
from galenaferry.discovery.tests.test_shared_table import (
    TWO,
    deliver_notices,
    make_non_reader,
)


def make_vm_with_news():
    """Return a VM that two readers have told of a change, without its rows."""
    bench = make_non_reader()
    bench.source.calls.clear()
    for address in ("10.0.0.1:7000", "10.0.0.2:7000"):
        bench.follower.on_notice(address, TableNotice(at(12), at(12), ()))
    bench.run_for(FETCH_SPREAD_MS)
    return bench


def test_news_is_asked_of_one_vm_and_not_of_the_store():
    bench = make_vm_with_news()
    assert len(bench.peer_fetches) == 1
    bench.peer_fetches[0][1](Ok(table_update(12, config=b"two")))
    deliver_notices(bench, 5_000.0, version=12)
    assert bench.changes[-1] == TWO
    assert bench.source.calls == []
    assert len(bench.peer_fetches) == 1


def test_news_is_read_from_the_store_once_if_other_vms_take_long():
    bench = make_vm_with_news()
    deliver_notices(bench, NEWS_READ_DELAY_MS + 300.0, version=12)
    assert [call[0] for call in bench.source.calls] == ["changes"]
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.changes[-1] == TWO
    deliver_notices(bench, 5_000.0, version=12)
    assert len(bench.source.calls) == 1
    assert len(bench.peer_fetches) == 1


def test_a_read_of_news_that_takes_long_is_not_started_again_beside_itself():
    bench = make_vm_with_news()
    deliver_notices(bench, NEWS_READ_DELAY_MS + 8_000.0, version=12)
    assert len(bench.source.calls) == 1
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.follower.version == at(12)


def test_a_slow_read_of_news_is_not_given_up():
    bench = make_vm_with_news()
    deliver_notices(bench, NEWS_READ_DELAY_MS + 2_500.0, version=12)
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.follower.version == at(12)
    assert len(bench.source.calls) == 1


def test_news_comes_from_a_peer_if_the_store_does_not_answer():
    # The connection may be silent, or the store may turn this VM away.
    bench = make_vm_with_news()
    deliver_notices(bench, 1_300.0, version=12)
    _address, done = bench.peer_fetches[0]
    done(Ok(table_update(12, config=b"two")))
    assert bench.changes[-1] == TWO


def test_vms_that_send_nothing_new_are_asked_less_and_less_often():
    bench = make_vm_with_news()
    answers = (Ok(table_update(10)), Err(TableError("ECONNREFUSED")))
    answered = 0
    for _ in range(60):
        bench.run_for(100.0)
        while answered < len(bench.peer_fetches):
            bench.peer_fetches[answered][1](answers[answered % 2])
            answered += 1
    assert 6 <= answered <= 14


def test_news_that_came_during_a_fetch_is_fetched_right_after_it():
    bench = make_vm_with_news()
    bench.follower.on_notice("10.0.0.2:7000", TableNotice(at(14), at(14), ()))
    bench.run_for(FETCH_SPREAD_MS)
    assert len(bench.peer_fetches) == 1
    bench.peer_fetches[0][1](Ok(table_update(12, config=b"two")))
    address, done = bench.peer_fetches[1]
    assert address == "10.0.0.2:7000"
    done(Ok(table_update(14, config=b"three")))
    assert bench.follower.version == at(14)


def test_another_vm_is_asked_soon_after_one_did_not_answer():
    bench = make_vm_with_news()
    first, done = bench.peer_fetches[0]
    done(Err(TableError("no answer within 1000 ms")))
    bench.run_for(RETRY_MS + 5.0)
    second, done = bench.peer_fetches[1]
    assert {first, second} == {"10.0.0.1:7000", "10.0.0.2:7000"}
    done(Ok(table_update(12, config=b"two")))
    assert bench.changes[-1] == TWO


def test_news_comes_from_the_store_if_a_peer_does_not_answer():
    bench = make_non_reader()
    bench.source.calls.clear()
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(12), at(12), ()))
    bench.run_for(FETCH_SPREAD_MS)
    bench.peer_fetches[0][1](Err(TableError("no answer within 1000 ms")))
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.changes[-1] == TWO


def refuse_fetches(bench, answered):
    """Let all fetches fail that were not answered yet; return their number."""
    while answered < len(bench.peer_fetches):
        bench.peer_fetches[answered][1](Err(TableError("ECONNREFUSED")))
        answered += 1
    return answered


def test_failing_fetches_do_not_start_several_reads_of_the_same_news():
    # A read that is no longer needed goes on to its end on the VM's link.
    bench = make_vm_with_news()
    answered = 0
    for _ in range(25):
        deliver_notices(bench, 100.0, version=12)
        answered = refuse_fetches(bench, answered)
    assert answered > 3
    assert len(bench.source.calls) == 1


def test_failing_fetches_are_not_repeated_more_often_with_each_notice():
    bench = make_vm_with_news()
    answered = 0
    counts = []
    for _ in range(30):
        bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(12), at(12), ()))
        before = answered
        for _ in range(100):
            bench.run_for(10.0)
            answered = refuse_fetches(bench, answered)
        counts.append(answered - before)
    # One after the notice and one after the longest delay, if the edges coincide two.
    assert max(counts[10:]) <= 3


def test_a_vm_stays_behind_while_others_repeat_what_it_lacks():
    bench = make_non_reader()
    for _ in range(10):
        bench.follower.on_peer_version("10.0.0.9:7000", at(50))
        deliver_notices(bench, 0.2 * MAX_NEWS_AGE_MS)
        assert bench.follower.is_behind


def test_a_vm_that_starts_does_not_read_all_rows_again_that_another_vm_sent():
    bench = FollowerBench(is_shared=True)
    bench.follower.on_peer_version("10.0.0.2:7000", at(12))
    bench.peer_fetches[0][1](Ok(table_update(12, True, config=b"two")))
    assert [call[0] for call in bench.source.calls] == ["all", "changes"]
    assert bench.source.calls[-1][1] == at(12)
    bench.source.lose_history()
    assert bench.source.calls[-1][0] == "all"
