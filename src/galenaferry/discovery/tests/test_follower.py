"""A copy of a table, through outages, lost history and silent connections."""

from result import Ok

from galenaferry.discovery.messages import TableRow
from galenaferry.discovery.tests.builders import FollowerBench, news


def started(**parts):
    bench = FollowerBench(**parts)
    bench.source.answer(news(10, True, config=b"one"))
    bench.run_for(5.0)
    return bench


def test_all_rows_come_first_and_then_what_changes():
    bench = started()
    assert bench.source.calls[-1][:2] == ("changes", 10)
    bench.source.answer(news(12, config=b"two"))
    assert bench.changes == [
        (TableRow("config", b"one"),),
        (TableRow("config", b"two"),),
    ]
    assert bench.follower.version == 12


def test_news_gather_before_the_next_read():
    bench = started(coalescing_delay=400.0)
    calls = len(bench.source.calls)
    bench.run_for(300.0)
    assert len(bench.source.calls) == calls
    bench.run_for(200.0)
    assert len(bench.source.calls) == calls + 1


def test_lost_history_is_made_good_by_reading_all():
    bench = started()
    bench.source.lose_history()
    assert bench.source.calls[-1][0] == "all"
    bench.source.answer(news(20, True, other=b"x"))
    assert set(bench.changes[-1]) == {TableRow("config", None), TableRow("other", b"x")}


def test_a_store_that_is_away_is_asked_again_within_three_seconds():
    bench = started()
    for _ in range(20):
        bench.source.fail()
        calls = len(bench.source.calls)
        bench.run_for(3_100.0)
        assert len(bench.source.calls) == calls + 1
    assert bench.follower.is_store_unavailable
    assert bench.follower.value_by_key == {"config": b"one"}


def test_a_vm_that_the_store_turns_away_takes_the_copy_of_another():
    bench = started()
    bench.source.fail()
    bench.follower.on_peer_version("10.0.0.2:7000", 15)
    bench.run_for(300.0)
    address, done = bench.asked[0]
    assert address == "10.0.0.2:7000"
    done(Ok(news(15, True, config=b"two")))
    assert bench.changes[-1] == (TableRow("config", b"two"),)


def test_a_silent_connection_to_the_store_is_given_up_once_another_knows_more():
    bench = started()
    calls = len(bench.source.calls)
    bench.follower.on_peer_version("10.0.0.2:7000", 15)
    bench.run_for(300.0)
    bench.asked[0][1](Ok(news(15, True, config=b"two")))
    assert len(bench.source.calls) == calls + 1
    assert bench.source.calls[-1][:2] == ("changes", 15)


def test_an_answer_to_a_read_that_was_given_up_changes_nothing():
    bench = started()
    silent = bench.source.calls[-1][2]
    bench.follower.on_peer_version("10.0.0.2:7000", 15)
    bench.run_for(300.0)
    bench.asked[0][1](Ok(news(15, True, config=b"two")))
    silent(Ok(news(11, config=b"stale")))
    assert bench.follower.value_by_key == {"config": b"two"}


def test_an_older_copy_changes_nothing():
    bench = started()
    bench.follower.on_peer_version("10.0.0.2:7000", 15)
    bench.run_for(300.0)
    bench.source.answer(news(15, config=b"two"))
    bench.asked[0][1](Ok(news(14, True, config=b"one")))
    assert bench.follower.value_by_key == {"config": b"two"}


def test_a_peer_that_is_no_newer_is_not_asked():
    bench = started()
    bench.follower.on_peer_version("10.0.0.2:7000", 10)
    bench.run_for(1_000.0)
    assert bench.asked == []


def test_of_a_fleet_one_vm_asks_soon_after_the_store_is_back():
    fleet = [FollowerBench(seed=seed) for seed in range(36)]
    for bench in fleet:
        bench.source.fail()
        ends_at = bench.clock.now() + 20_000.0
        while bench.clock.now() < ends_at:
            calls = len(bench.source.calls)
            bench.run_for(50.0)
            if len(bench.source.calls) > calls:
                bench.source.fail()
    before = [len(bench.source.calls) for bench in fleet]
    for bench in fleet:
        bench.run_for(300.0)
    assert any(len(b.source.calls) > count for b, count in zip(fleet, before))


def test_the_version_told_is_that_of_the_newest_change():
    bench = started()
    bench.source.answer(news(30))
    bench.run_for(5.0)
    assert bench.follower.version == 30
    assert bench.follower.last_change_version == 10


def test_a_copy_without_a_change_costs_no_call_to_the_store():
    bench = started()
    calls = len(bench.source.calls)
    bench.follower.on_peer_version("10.0.0.2:7000", 15)
    bench.run_for(300.0)
    bench.asked[0][1](Ok(news(15)))
    bench.run_for(1_000.0)
    assert bench.follower.version == 15
    assert len(bench.source.calls) == calls
