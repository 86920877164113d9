"""A shared table, which a few VMs read and broadcast to the others."""

from collections import Counter
from random import Random

import pytest
from result import Err, Ok

from galenaferry.discovery.follower import (
    ROLE_DELAY_MS,
)
from galenaferry.discovery.history import TableHistory
from galenaferry.discovery.messages import TableError, TableNotice, TableRow
from galenaferry.discovery.peer_fetches import FETCH_SPREAD_MS
from galenaferry.discovery.poll_timing import (
    LONGEST_POLL_MS,
    PROMPT_ANSWER_MS,
    PollTiming,
)
from galenaferry.discovery.readers import (
    MIN_READERS,
    READERS_PER_ZONE,
    is_reader,
    link_class_of,
)
from galenaferry.discovery.tests.builders import FollowerBench, at, table_update
from galenaferry.membership.messages import Member

ONE = (TableRow("config", b"one"),)
TWO = (TableRow("config", b"two"),)
TIMING = PollTiming(LONGEST_POLL_MS)


ZONES = ("north", "middle", "south", "east", "west")


def member(number, zone="north", is_down=False, link_class=0):
    return Member(
        f"10.0.0.{number}:7000",
        1,
        1,
        zone,
        "r",
        False,
        1,
        is_down,
        0,
        False,
        link_class,
    )


def make_non_reader(**settings):
    """Return a VM that has read the table once and now gets a reader's notices."""
    bench = FollowerBench(is_shared=True, **settings)
    bench.is_designated_reader = False
    bench.source.answer(table_update(10, True, config=b"one"))
    deliver_notices(bench, 500.0)
    return bench


def deliver_notices(bench, interval, version=10):
    for _ in range(int(interval / 100.0)):
        bench.follower.on_notice(
            "10.0.0.1:7000", TableNotice(at(version), at(version), ())
        )
        bench.run_for(100.0)


def readers_of(fleet):
    return [one for one in fleet if is_reader(one, fleet)]


def make_fleet(size, zone_count):
    return [member(number, ZONES[number % zone_count]) for number in range(size)]


@pytest.mark.parametrize("zone_count", [1, 2, 3, 4, 5])
def test_only_a_few_vms_of_each_zone_are_readers(zone_count):
    fleet = make_fleet(90, zone_count)
    by_zone = Counter(one.zone for one in readers_of(fleet))
    assert sum(by_zone.values()) >= MIN_READERS
    assert set(by_zone) == set(ZONES[:zone_count])
    assert set(by_zone.values()) == {
        max(READERS_PER_ZONE, -(-MIN_READERS // zone_count))
    }


def test_the_vms_with_the_fastest_links_of_each_zone_are_readers():
    fleet = make_fleet(90, 3)
    fleet = [
        one._replace(link_class=8 if number < 6 else 4)
        for number, one in enumerate(fleet)
    ]
    assert readers_of(fleet) == fleet[:6]


def test_vms_with_slower_links_read_where_the_faster_ones_cannot():
    fleet = [
        one._replace(link_class=8 if number < 6 else 4, is_platform_down=number < 3)
        for number, one in enumerate(make_fleet(90, 3))
    ]
    able = [one for one in readers_of(fleet) if not one.is_platform_down]
    assert len(able) == 6
    assert set(fleet[3:6]) <= set(able)


def test_the_vms_that_an_earlier_version_takes_for_readers_read():
    fleet = make_fleet(90, 3)
    expected = {one.address for one in readers_of(fleet)}
    upgraded = [
        one._replace(link_class=8 if number < 6 else 4) if number % 2 else one
        for number, one in enumerate(fleet)
    ]
    readers = {one.address for one in readers_of(upgraded)}
    assert expected <= readers
    assert {one.address for one in upgraded if one.link_class == 8} <= readers


def test_links_of_one_class_differ_by_less_than_a_factor_of_two():
    assert link_class_of(0.0) == 0
    assert link_class_of(1_250.0) == link_class_of(1_500.0)
    assert link_class_of(1_250.0) < link_class_of(2_500.0)
    assert link_class_of(1e300) == 255


def test_readers_with_failing_reads_are_replaced():
    fleet = make_fleet(90, 5)
    down = {one.address for one in readers_of(fleet)}
    members = [one._replace(is_platform_down=one.address in down) for one in fleet]
    readers = {one.address for one in readers_of(members)}
    assert len(readers - down) == 5 * READERS_PER_ZONE


def test_readers_of_a_zone_do_not_change_with_vms_of_other_zones():
    fleet = make_fleet(90, 5)
    north = [one for one in readers_of(fleet) if one.zone == "north"]
    fewer = [
        one for one in fleet if one.zone != "south" or one.address.endswith("2:7000")
    ]
    assert [one for one in readers_of(fewer) if one.zone == "north"] == north


def test_vm_that_gets_notices_does_not_read_the_store():
    bench = make_non_reader()
    calls = len(bench.source.calls)
    deliver_notices(bench, 30_000.0)
    assert len(bench.source.calls) == calls


def test_rows_of_a_notice_are_applied_without_a_fetch():
    bench = make_non_reader()
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(10), at(12), TWO))
    assert bench.changes[-1] == TWO
    assert bench.peer_fetches == []


def test_repeated_and_older_notices_change_nothing():
    bench = make_non_reader()
    for _ in range(3):
        bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(10), at(12), TWO))
    bench.follower.on_notice("10.0.0.2:7000", TableNotice(at(9), at(11), ONE))
    assert bench.changes == [ONE, TWO]


def test_rows_of_a_lost_notice_are_fetched_after_the_next_notice():
    bench = make_non_reader()
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(12), at(12), ()))
    bench.run_for(FETCH_SPREAD_MS)
    address, done = bench.peer_fetches[0]
    done(Ok(table_update(12, config=b"two")))
    assert address == "10.0.0.1:7000"
    assert bench.changes[-1] == TWO


def test_notice_after_a_gap_leads_to_a_fetch():
    bench = make_non_reader()
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(11), at(12), TWO))
    bench.run_for(FETCH_SPREAD_MS)
    assert bench.changes == [ONE]
    assert len(bench.peer_fetches) == 1


def test_vm_without_notices_reads_the_store_until_they_return():
    bench = make_non_reader()
    calls = len(bench.source.calls)
    bench.run_for(TIMING.reader_timeout + 300.0)
    assert len(bench.source.calls) == calls + 1
    deliver_notices(bench, 1_000.0)
    bench.source.answer(table_update(13, config=b"two"))
    assert bench.changes[-1] == TWO
    deliver_notices(bench, 5_000.0, version=13)
    assert len(bench.source.calls) == calls + 1


def test_reader_broadcasts_changes_and_its_version_at_intervals():
    bench = FollowerBench(is_shared=True)
    bench.source.answer(table_update(10, True, config=b"one"))
    bench.run_for(5.0)
    bench.source.answer(table_update(12, config=b"two"))
    assert [(n.after, n.version, n.rows) for n in bench.notices] == [
        (at(0, era=0), at(10), ()),
        (at(10), at(12), TWO),
    ]
    bench.run_for(2_100.0)
    assert [n.version for n in bench.notices[2:]] == [at(12), at(12)]


def test_changes_of_other_tables_leave_no_gap_between_notices():
    reader, other = FollowerBench(is_shared=True), make_non_reader()
    reader.source.answer(table_update(10, True, config=b"one"))
    reader.run_for(5.0)
    reader.source.answer(table_update(30))
    reader.run_for(5.0)
    reader.source.answer(table_update(32, config=b"two"))
    reader.run_for(1_100.0)
    for notice in reader.notices:
        other.follower.on_notice("10.0.0.1:7000", notice)
    assert other.peer_fetches == []
    assert other.changes[-1] == TWO
    assert other.follower.version == at(32)


def test_reader_with_failing_reads_broadcasts_nothing():
    bench = FollowerBench(is_shared=True)
    bench.source.answer(table_update(10, True, config=b"one"))
    bench.run_for(5.0)
    bench.source.fail()
    count = len(bench.notices)
    bench.run_for(50.0)
    bench.follower._announce_version()
    assert len(bench.notices) == count


def test_lost_and_reordered_notices_converge():
    random = Random(7)
    expected = {}
    bench = make_non_reader()
    version = 10
    missed = []
    for _ in range(300):
        key, value = f"k{random.randrange(9)}", random.choice([None, b"a", b"b"])
        before, version = version, version + random.randrange(1, 4)
        expected[key] = value
        notice = TableNotice(at(before), at(version), (TableRow(key, value),))
        if random.random() < 0.3:
            missed.append(notice)
        else:
            bench.follower.on_notice("10.0.0.1:7000", notice)
        if random.random() < 0.5:
            bench.run_for(FETCH_SPREAD_MS)
        if bench.peer_fetches:
            rows = tuple(TableRow(k, v) for k, v in expected.items())
            bench.peer_fetches.pop()[1](Ok(table_update(version)._replace(rows=rows)))
        if missed and random.random() < 0.2:
            bench.follower.on_notice("10.0.0.2:7000", missed.pop(0))
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(version), at(version), ()))
    bench.run_for(FETCH_SPREAD_MS)
    if bench.peer_fetches:
        rows = tuple(TableRow(k, v) for k, v in expected.items())
        bench.peer_fetches.pop()[1](Ok(table_update(version)._replace(rows=rows)))
    known = dict(bench.follower.value_by_key)
    known.pop("config")
    assert known == {key: value for key, value in expected.items() if value is not None}


def test_history_returns_changed_keys_or_none_when_it_is_too_short():
    history = TableHistory()
    assert history.keys_changed_after(at(5)) is None
    history.record(table_update(10, True), [TableRow("a", b"1")])
    history.record(table_update(12), [TableRow("b", b"1")])
    history.record(table_update(14), [TableRow("a", None)])
    assert history.keys_changed_after(at(9)) is None
    assert history.keys_changed_after(at(10)) == ["b", "a"]
    assert history.keys_changed_after(at(12)) == ["a"]
    assert history.keys_changed_after(at(14)) == []


def test_a_vm_of_a_first_start_waits_for_readers():
    bench = FollowerBench(is_shared=True, startup_delay=1_000.0)
    bench.is_designated_reader = False
    bench.run_for(1_500.0)
    assert bench.source.calls == []
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(9), at(9), ()))
    bench.peer_fetches[0][1](Ok(table_update(9, True, config=b"one")))
    assert bench.changes == [ONE]


def test_a_vm_of_a_first_start_reads_if_no_reader_tells():
    bench = FollowerBench(is_shared=True, startup_delay=1_000.0)
    bench.is_designated_reader = False
    bench.run_for(1_000.0 + TIMING.reader_timeout + 300.0)
    assert len(bench.source.calls) == 1


def test_a_reader_of_a_first_start_reads_after_the_delay():
    bench = FollowerBench(is_shared=True, startup_delay=1_000.0)
    bench.run_for(900.0)
    assert bench.source.calls == []
    bench.run_for(400.0)
    assert len(bench.source.calls) == 1


def test_a_request_ends_the_startup_delay():
    bench = FollowerBench(is_shared=True, startup_delay=3_000.0)
    bench.is_designated_reader = False
    bench.follower.end_startup_delay()
    assert [call[0] for call in bench.source.calls] == ["all"]
    bench.source.answer(table_update(9, True, config=b"one"))
    bench.follower.end_startup_delay()
    assert len(bench.source.calls) == 1


def test_large_rows_are_not_sent_in_notices():
    # A configuration of 64 KB in a datagram to each VM of a zone would fill small links
    # for seconds, and a larger one would not fit.
    bench = FollowerBench(is_shared=True)
    bench.source.answer(table_update(10, True, config=b"one"))
    bench.run_for(ROLE_DELAY_MS + 5.0)
    bench.source.answer(table_update(12, config=b"x" * 60_000))
    notice = bench.notices[-1]
    assert notice == TableNotice(
        at(10), at(12), (), notice.back_ago, "op", notice.confirmed_ago
    )
    assert 0.0 <= notice.confirmed_ago <= PROMPT_ANSWER_MS


def test_a_started_vm_learns_its_role_before_it_waits_for_changes():
    bench = FollowerBench(is_shared=True)
    bench.source.answer(table_update(10, True, config=b"one"))
    bench.is_designated_reader = False
    deliver_notices(bench, 3_000.0)
    assert [call[0] for call in bench.source.calls] == ["all"]


def make_reader(**settings):
    bench = FollowerBench(is_shared=True, **settings)
    bench.source.answer(table_update(10, True, config=b"one"))
    bench.run_for(ROLE_DELAY_MS + 5.0)
    bench.notices.clear()
    return bench


def test_a_reader_whose_read_is_silent_learns_from_another_and_tells_its_zone():
    # All connections of a zone's readers to the store may go silent at once.
    bench = make_reader()
    calls = len(bench.source.calls)
    bench.follower.on_notice("10.0.9.1:7000", TableNotice(at(10), at(12), TWO))
    assert bench.changes[-1] == TWO
    bench.run_for(300.0)
    assert [(n.version, n.rows) for n in bench.notices if n.rows] == [(at(12), TWO)]
    assert len(bench.source.calls) == calls + 1
    assert bench.source.calls[-1][:2] == ("changes", at(12))


def test_it_fetches_what_came_without_rows():
    bench = make_reader()
    bench.follower.on_notice("10.0.9.1:7000", TableNotice(at(12), at(12), ()))
    bench.run_for(300.0)
    address, done = bench.peer_fetches[0]
    assert address == "10.0.9.1:7000"
    done(Ok(table_update(12, config=b"two")))
    assert bench.changes[-1] == TWO
    assert bench.notices[-1].version == at(12)


def test_a_reader_whose_read_works_repeats_nothing():
    bench = make_reader()
    calls = len(bench.source.calls)
    bench.follower.on_notice("10.0.9.1:7000", TableNotice(at(10), at(12), TWO))
    bench.source.answer(table_update(12, config=b"two"))
    bench.run_for(300.0)
    assert len([n for n in bench.notices if n.rows]) == 1
    assert len(bench.source.calls) == calls + 1
    assert bench.peer_fetches == []


def test_a_read_that_waits_for_further_changes_has_missed_nothing():
    bench = FollowerBench(is_shared=True, coalescing_delay=400.0)
    bench.source.answer(table_update(10, True, config=b"one"))
    bench.run_for(ROLE_DELAY_MS + 5.0)
    bench.source.answer(table_update(11, other=b"x"))
    calls = len(bench.source.calls)
    bench.follower.on_notice("10.0.9.1:7000", TableNotice(at(11), at(12), TWO))
    bench.run_for(450.0)
    bench.source.answer(table_update(12, config=b"two"))
    bench.run_for(300.0)
    assert len(bench.source.calls) == calls + 1
    assert [n.version for n in bench.notices if n.rows == TWO] == [at(12)]


def test_a_reader_reads_once_again_for_news_that_many_readers_tell():
    # Each of several notices repeated the read, every few milliseconds.
    bench = make_reader()
    calls = len(bench.source.calls)
    for number in range(1, 9):
        notice = TableNotice(at(12), at(12), ())
        bench.follower.on_notice(f"10.0.{number}.1:7000", notice)
        bench.run_for(20.0)
    bench.run_for(150.0)
    bench.peer_fetches[0][1](Ok(table_update(12, config=b"two")))
    bench.run_for(500.0)
    assert len(bench.source.calls) == calls + 1
    assert bench.source.calls[-1][:2] == ("changes", at(12))


def test_a_complete_read_is_used_though_another_one_has_replaced_it():
    bench = make_reader()
    _kind, _after, done = bench.source.calls[-1]
    bench.follower.refresh()
    done(Ok(table_update(12, config=b"two")))
    assert bench.changes[-1] == TWO
    assert bench.follower.version == at(12)
    assert bench.notices[-1].version == at(12)


def test_a_read_that_was_replaced_changes_nothing_if_it_is_older_or_failed():
    bench = make_reader()
    _kind, _after, done = bench.source.calls[-1]
    bench.follower.refresh()
    bench.source.answer(table_update(12, config=b"two"))
    done(Ok(table_update(11, config=b"old")))
    done(Err(TableError("status 503")))
    assert bench.changes[-1] == TWO
    assert not bench.follower.is_store_unavailable


def test_news_that_a_reader_knows_before_its_next_read_reaches_its_zone():
    # The store returns no rows for a read that starts from the news itself.
    bench = FollowerBench(is_shared=True, coalescing_delay=400.0)
    bench.source.answer(table_update(10, True, config=b"one"))
    bench.run_for(ROLE_DELAY_MS + 5.0)
    bench.source.answer(table_update(11, other=b"x"))
    for number in range(1, 5):
        notice = TableNotice(at(11), at(12), TWO)
        bench.follower.on_notice(f"10.0.{number}.1:7000", notice)
    bench.run_for(700.0)
    assert bench.source.calls[-1][:2] == ("changes", at(12))
    assert [n.version for n in bench.notices if n.rows == TWO] == [at(12)]


def test_a_reader_that_the_store_turns_away_tells_its_zone_what_others_read():
    bench = make_reader()
    bench.source.fail()
    bench.follower.on_notice("10.0.9.1:7000", TableNotice(at(10), at(12), TWO))
    for _ in range(8):
        bench.run_for(50.0)
        bench.source.fail()
    assert [n.version for n in bench.notices if n.rows == TWO] == [at(12)]


def make_refused_reader():
    """Return a reader whose reads fail; only VMs in 10.0.0.0/24 are near."""
    bench = FollowerBench(is_shared=True, is_near=lambda a: a.startswith("10.0.0."))
    bench.source.answer(table_update(10, True, config=b"one"))
    bench.run_for(ROLE_DELAY_MS + 5.0)
    bench.source.fail()
    bench.notices.clear()
    return bench


def test_a_refused_reader_passes_on_at_once_what_other_zones_have_read():
    bench = make_refused_reader()
    notice = TableNotice(at(10), at(12), TWO, confirmed_ago=20.0)
    bench.follower.on_notice("10.0.9.1:7000", notice)
    assert bench.notices == [notice]
    bench.follower.on_notice("10.0.8.1:7000", notice)
    assert [n.rows for n in bench.notices if n.rows] == [TWO]


def test_a_refused_reader_tells_its_zone_that_the_store_answers_others():
    bench = make_refused_reader()
    bench.run_for(500.0)
    notice = TableNotice(at(10), at(10), (), confirmed_ago=20.0)
    for _ in range(4):
        bench.follower.on_notice("10.0.9.1:7000", notice)
        bench.run_for(200.0)
    assert 1 <= len(bench.notices) <= 2
    assert bench.notices[0].confirmed_ago == 20.0


def test_a_refused_reader_leaves_it_to_the_sender_to_tell_their_common_zone():
    bench = make_refused_reader()
    notice = TableNotice(at(10), at(12), TWO, confirmed_ago=20.0)
    bench.follower.on_notice("10.0.0.2:7000", notice)
    assert bench.notices == []
