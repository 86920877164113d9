"""A table that few VMs read for all."""

from random import Random

from result import Ok

from galenaferry.discovery.history import TableHistory
from galenaferry.discovery.messages import TableNotice, TableRow
from galenaferry.discovery.readers import (
    READER_TIMEOUT_MS,
    READERS_PER_TABLE,
    is_reader,
)
from galenaferry.discovery.tests.builders import FollowerBench, news
from galenaferry.membership.messages import Member

ONE = (TableRow("config", b"one"),)
TWO = (TableRow("config", b"two"),)


def member(number, is_down=False):
    return Member(f"10.0.0.{number}:7000", 1, 1, "north", "r", False, 1, is_down)


def listener():
    """A VM that has read the table once and now hears a reader."""
    bench = FollowerBench(is_shared=True)
    bench.is_designated_reader = False
    bench.source.answer(news(10, True, config=b"one"))
    hear(bench, 500.0)
    return bench


def hear(bench, interval, version=10):
    for _ in range(int(interval / 100.0)):
        bench.follower.on_notice("10.0.0.1:7000", TableNotice(version, version, ()))
        bench.run_for(100.0)


def test_a_few_of_many_read():
    fleet = [member(number) for number in range(90)]
    readers = [one for one in fleet if is_reader(one, fleet, "servers")]
    assert len(readers) == READERS_PER_TABLE


def test_vms_that_the_store_turns_away_are_replaced_as_readers():
    fleet = [member(number) for number in range(90)]
    down = {one.address for one in fleet if is_reader(one, fleet, "servers")}
    seen = [one._replace(is_platform_down=one.address in down) for one in fleet]
    readers = {one.address for one in seen if is_reader(one, seen, "servers")}
    assert len(readers - down) == READERS_PER_TABLE


def test_a_vm_that_hears_a_reader_makes_no_calls():
    bench = listener()
    calls = len(bench.source.calls)
    hear(bench, 30_000.0)
    assert len(bench.source.calls) == calls


def test_what_a_reader_tells_is_taken_over_at_once():
    bench = listener()
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(10, 12, TWO))
    assert bench.changes[-1] == TWO
    assert bench.asked == []


def test_the_same_news_of_another_reader_change_nothing():
    bench = listener()
    for _ in range(3):
        bench.follower.on_notice("10.0.0.1:7000", TableNotice(10, 12, TWO))
    bench.follower.on_notice("10.0.0.2:7000", TableNotice(9, 11, ONE))
    assert bench.changes == [ONE, TWO]


def test_lost_news_are_asked_for_by_the_next_word_of_a_reader():
    bench = listener()
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(12, 12, ()))
    address, done = bench.asked[0]
    done(Ok(news(12, config=b"two")))
    assert address == "10.0.0.1:7000"
    assert bench.changes[-1] == TWO


def test_news_after_a_gap_are_not_taken_for_all():
    bench = listener()
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(11, 12, TWO))
    assert bench.changes == [ONE]
    assert len(bench.asked) == 1


def test_without_a_reader_a_vm_reads_by_itself_in_time():
    bench = listener()
    calls = len(bench.source.calls)
    bench.run_for(READER_TIMEOUT_MS + 300.0)
    assert len(bench.source.calls) == calls + 1
    hear(bench, 1_000.0)
    bench.source.answer(news(13, config=b"ignored"))
    assert bench.follower.version == 10


def test_a_reader_tells_what_it_reads_and_that_it_lives():
    bench = FollowerBench(is_shared=True)
    bench.source.answer(news(10, True, config=b"one"))
    bench.run_for(5.0)
    bench.source.answer(news(12, config=b"two"))
    assert [(n.after, n.version, n.rows) for n in bench.notices] == [
        (0, 10, ()),
        (10, 12, TWO),
    ]
    bench.run_for(2_100.0)
    assert [n.version for n in bench.notices[2:]] == [12, 12]


def test_what_follows_reads_without_news_fits_what_the_others_know():
    reader, other = FollowerBench(is_shared=True), listener()
    reader.source.answer(news(10, True, config=b"one"))
    reader.run_for(5.0)
    reader.source.answer(news(30))
    reader.run_for(5.0)
    reader.source.answer(news(32, config=b"two"))
    reader.run_for(1_100.0)
    for notice in reader.notices:
        other.follower.on_notice("10.0.0.1:7000", notice)
    assert other.asked == []
    assert other.changes[-1] == TWO
    assert other.follower.version == 32


def test_a_reader_that_the_store_turns_away_is_silent():
    bench = FollowerBench(is_shared=True)
    bench.source.answer(news(10, True, config=b"one"))
    bench.run_for(5.0)
    bench.source.fail()
    told = len(bench.notices)
    bench.run_for(50.0)
    bench.follower._broadcast_version()
    assert len(bench.notices) == told


def test_changes_in_any_order_of_loss_end_alike():
    random = Random(7)
    truth = {}
    bench = listener()
    version = 10
    missed = []
    for _ in range(300):
        key, value = f"k{random.randrange(9)}", random.choice([None, b"a", b"b"])
        before, version = version, version + random.randrange(1, 4)
        truth[key] = value
        notice = TableNotice(before, version, (TableRow(key, value),))
        if random.random() < 0.3:
            missed.append(notice)
        else:
            bench.follower.on_notice("10.0.0.1:7000", notice)
        if bench.asked:
            rows = tuple(TableRow(k, v) for k, v in truth.items())
            bench.asked.pop()[1](Ok(news(version)._replace(rows=rows)))
        if missed and random.random() < 0.2:
            bench.follower.on_notice("10.0.0.2:7000", missed.pop(0))
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(version, version, ()))
    if bench.asked:
        rows = tuple(TableRow(k, v) for k, v in truth.items())
        bench.asked.pop()[1](Ok(news(version)._replace(rows=rows)))
    known = dict(bench.follower.value_by_key)
    known.pop("config")
    assert known == {key: value for key, value in truth.items() if value is not None}


def test_history_tells_what_changed_and_what_it_does_not_know():
    history = TableHistory()
    assert history.keys_changed_after(5) is None
    history.record(news(10, True), [TableRow("a", b"1")])
    history.record(news(12), [TableRow("b", b"1")])
    history.record(news(14), [TableRow("a", None)])
    assert history.keys_changed_after(9) is None
    assert history.keys_changed_after(10) == ["b", "a"]
    assert history.keys_changed_after(12) == ["a"]
    assert history.keys_changed_after(14) == []
