"""Copy of a table during outages, lost history and dead connections."""

from result import Ok

from galenaferry.discovery.messages import TableNotice, TableRow
from galenaferry.discovery.poll_timing import PROMPT_ANSWER_MS
from galenaferry.discovery.tests.builders import FollowerBench, at, table_update
from galenaferry.discovery.tests.test_shared_table import TIMING


def make_loaded_bench(**settings):
    bench = FollowerBench(**settings)
    bench.source.answer(table_update(10, True, config=b"one"))
    bench.run_for(5.0)
    return bench


def test_first_read_is_of_all_rows_and_later_ones_of_changes():
    bench = make_loaded_bench()
    assert bench.source.calls[-1][:2] == ("changes", at(10))
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.changes == [
        (TableRow("config", b"one"),),
        (TableRow("config", b"two"),),
    ]
    assert bench.follower.version == at(12)


def test_next_read_waits_for_the_coalescing_delay():
    bench = make_loaded_bench(coalescing_delay=400.0)
    calls = len(bench.source.calls)
    bench.run_for(300.0)
    assert len(bench.source.calls) == calls
    bench.run_for(200.0)
    assert len(bench.source.calls) == calls + 1


def test_lost_history_leads_to_a_read_of_all_rows():
    bench = make_loaded_bench()
    bench.source.lose_history()
    assert bench.source.calls[-1][0] == "all"
    bench.source.answer(table_update(20, True, other=b"x"))
    assert set(bench.changes[-1]) == {TableRow("config", None), TableRow("other", b"x")}


def test_failed_read_is_retried_within_three_seconds():
    bench = make_loaded_bench()
    for _ in range(20):
        bench.source.fail()
        calls = len(bench.source.calls)
        bench.run_for(3_100.0)
        assert len(bench.source.calls) == calls + 1
    assert bench.follower.is_store_unavailable
    assert bench.follower.value_by_key == {"config": b"one"}


def test_vm_with_failing_reads_gets_the_table_from_a_peer():
    bench = make_loaded_bench()
    bench.source.fail()
    bench.follower.on_peer_version("10.0.0.2:7000", at(15))
    bench.run_for(300.0)
    address, done = bench.peer_fetches[0]
    assert address == "10.0.0.2:7000"
    done(Ok(table_update(15, True, config=b"two")))
    assert bench.changes[-1] == (TableRow("config", b"two"),)


def test_pending_read_is_replaced_after_a_newer_update_from_a_peer():
    # The connection of the pending read may be dead without an error.
    bench = make_loaded_bench()
    calls = len(bench.source.calls)
    bench.follower.on_peer_version("10.0.0.2:7000", at(15))
    bench.run_for(300.0)
    bench.peer_fetches[0][1](Ok(table_update(15, True, config=b"two")))
    assert len(bench.source.calls) == calls + 1
    assert bench.source.calls[-1][:2] == ("changes", at(15))


def test_result_of_a_replaced_read_is_ignored():
    bench = make_loaded_bench()
    replaced_read = bench.source.calls[-1][2]
    bench.follower.on_peer_version("10.0.0.2:7000", at(15))
    bench.run_for(300.0)
    bench.peer_fetches[0][1](Ok(table_update(15, True, config=b"two")))
    replaced_read(Ok(table_update(11, config=b"stale")))
    assert bench.follower.value_by_key == {"config": b"two"}


def test_older_update_from_a_peer_is_ignored():
    bench = make_loaded_bench()
    bench.follower.on_peer_version("10.0.0.2:7000", at(15))
    bench.run_for(300.0)
    bench.source.answer(table_update(15, config=b"two"))
    bench.peer_fetches[0][1](Ok(table_update(14, True, config=b"one")))
    assert bench.follower.value_by_key == {"config": b"two"}


def test_peer_without_a_newer_version_gets_no_fetch():
    bench = make_loaded_bench()
    bench.follower.on_peer_version("10.0.0.2:7000", at(10))
    bench.run_for(1_000.0)
    assert bench.peer_fetches == []


def test_some_vm_of_a_fleet_reads_within_300_ms_after_an_outage():
    fleet = [FollowerBench(seed=seed) for seed in range(36)]
    for bench in fleet:
        bench.source.fail()
        ends_at = bench.clock.now() + 20_000.0
        while bench.clock.now() < ends_at:
            calls = len(bench.source.calls)
            bench.run_for(50.0)
            if len(bench.source.calls) > calls:
                bench.source.fail()
    previous_counts = [len(bench.source.calls) for bench in fleet]
    for bench in fleet:
        bench.run_for(300.0)
    assert any(len(b.source.calls) > count for b, count in zip(fleet, previous_counts))


def test_last_change_version_ignores_changes_of_other_tables():
    bench = make_loaded_bench()
    bench.source.answer(table_update(30))
    bench.run_for(5.0)
    assert bench.follower.version == at(30)
    assert bench.follower.last_change_version == at(10)


def test_peer_update_without_changes_leads_to_no_read():
    bench = make_loaded_bench()
    calls = len(bench.source.calls)
    bench.follower.on_peer_version("10.0.0.2:7000", at(15))
    bench.run_for(300.0)
    bench.peer_fetches[0][1](Ok(table_update(15)))
    bench.run_for(1_000.0)
    assert bench.follower.version == at(15)
    assert len(bench.source.calls) == calls


def test_snapshot_of_a_later_era_replaces_rows_of_a_higher_counter():
    bench = make_loaded_bench()
    bench.source.lose_history()
    bench.source.answer(table_update(4, True, era=2, other=b"x"))
    assert bench.follower.value_by_key == {"other": b"x"}
    assert bench.follower.version == at(4, era=2)
    assert bench.follower.last_change_version == at(4, era=2)
    assert bench.restore_count == 1
    assert bench.follower.outages.back_at == bench.clock.now()


def test_changes_of_a_later_era_are_not_applied_to_rows_of_an_earlier_one():
    bench = make_loaded_bench()
    bench.follower.on_notice(
        "10.0.0.2:7000",
        TableNotice(at(8), at(14, era=2), (TableRow("config", b"two"),)),
    )
    assert bench.follower.value_by_key == {"config": b"one"}


def test_vm_that_missed_a_restore_learns_of_it_from_a_peer():
    # The peer's counter is lower than this VM's; its era is not.
    bench = make_loaded_bench()
    bench.follower.on_peer_version("10.0.0.2:7000", at(3, era=2))
    bench.run_for(300.0)
    bench.peer_fetches[0][1](Ok(table_update(3, True, era=2, config=b"old")))
    assert bench.follower.value_by_key == {"config": b"old"}
    assert bench.restore_count == 1


def test_rows_of_an_earlier_era_are_never_given_as_newer_ones():
    bench = make_loaded_bench()
    bench.source.lose_history()
    bench.source.answer(table_update(4, True, era=2, config=b"old"))
    bench.follower.on_peer_version("10.0.0.2:7000", at(50))
    bench.run_for(500.0)
    assert bench.peer_fetches == []
    update = bench.follower.update_since(at(10))
    assert update.is_snapshot
    assert update.version == at(4, era=2)


def test_the_first_read_is_no_restore():
    bench = FollowerBench()
    bench.source.answer(table_update(4, True, era=7, config=b"one"))
    assert bench.restore_count == 0
    assert bench.follower.outages.back_at is None


def test_a_vm_that_starts_while_the_store_is_away_asks_the_first_peer_at_once():
    bench = FollowerBench()
    bench.source.fail()
    bench.follower.on_peer_version("10.0.0.2:7000", at(15))
    bench.peer_fetches[0][1](Ok(table_update(15, True, config=b"two")))
    assert bench.follower.value_by_key == {"config": b"two"}


def test_a_reset_connection_is_no_outage_of_the_store():
    # Rows that are removed soon after it have not lapsed: their instances have left.
    bench = make_loaded_bench()
    bench.source.fail()
    assert not bench.follower.outages.is_away
    bench.run_for(200.0)
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.follower.outages.back_at is None


def test_reads_that_fail_for_longer_than_news_takes_are_an_outage_until_one_succeeds():
    bench = make_loaded_bench()
    bench.source.fail()
    bench.run_for(TIMING.longest_without_answer - 10.0)
    bench.source.fail()
    assert not bench.follower.outages.is_away
    bench.run_for(20.0)
    assert bench.follower.outages.is_away
    assert bench.follower.outages.back_ago == 0.0
    bench.run_for(400.0)
    bench.source.answer(table_update(12, config=b"two"))
    assert not bench.follower.outages.is_away
    assert bench.clock.now() - bench.follower.outages.back_at <= PROMPT_ANSWER_MS
