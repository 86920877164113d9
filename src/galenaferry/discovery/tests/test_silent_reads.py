"""Reads from the store that never get an answer."""

import pytest

from galenaferry.discovery.messages import READ_TIMEOUT_MS
from galenaferry.discovery.poll_timing import (
    DELIVERY_MS,
    PROMPT_ANSWER_MS,
    SENDING_MS,
    derive_instance_timing,
    derive_poll_timing,
)
from galenaferry.discovery.tests.builders import at, table_update
from galenaferry.discovery.tests.test_shared_table import (
    TWO,
    make_non_reader,
    make_reader,
)

BOUNDS_MS = [1_000.0, 1_500.0, 2_000.0, 2_500.0, 3_000.0, 5_000.0]


def end_silent_read(bench):
    """Let the client of the store give up on the pending read."""
    bench.run_for(bench.source.waits[-1] + bench.source.limits[-1])
    bench.source.time_out()


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_a_change_is_read_in_time_though_the_connections_of_all_readers_went_silent(
    bound,
):
    # The time until VMs are in touch again doesn't add to the bound of a change.
    bench = make_reader(timing=derive_poll_timing(bound))
    bench.source.answer(table_update(10))
    bench.run_for(1.0)
    calls = len(bench.source.calls)
    silent_since = bench.clock.now()
    end_silent_read(bench)
    assert len(bench.source.calls) == calls + 1
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.notices[-1].rows == TWO
    assert bench.clock.now() - silent_since <= bound - DELIVERY_MS + 1.0


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_the_longest_time_without_news_is_the_bound_if_that_can_be_met(bound):
    timing = derive_poll_timing(bound)
    assert timing.meets(bound)
    assert timing.longest_without_news == min(bound, 3_300.0)
    assert timing.longest_silence + DELIVERY_MS == timing.longest_without_news
    # A 404 by a copy of that age is sent before the bound is over.
    assert timing.max_confirmation_age + PROMPT_ANSWER_MS <= bound
    # Calm readers confirm the copies of others before these take them for old.
    assert timing.poll + PROMPT_ANSWER_MS < timing.max_confirmation_age
    assert timing.poll + PROMPT_ANSWER_MS < timing.reader_timeout < bound


def test_a_bound_that_no_reads_can_meet_is_told_from_one_that_they_meet():
    assert not derive_poll_timing(900.0).meets(900.0)
    assert derive_poll_timing(1_000.0).meets(1_000.0)


def test_a_silent_read_alone_is_no_outage_of_the_store():
    bench = make_reader()
    bench.source.answer(table_update(10))
    bench.run_for(1.0)
    end_silent_read(bench)
    assert not bench.follower.is_store_unavailable
    assert bench.source.limits[-1] == READ_TIMEOUT_MS
    bench.run_for(READ_TIMEOUT_MS)
    bench.source.time_out()
    assert bench.follower.is_store_unavailable


def test_a_store_that_answers_slowly_is_not_asked_again_and_again():
    bench = make_reader()
    for _ in range(10):
        calls = len(bench.source.calls)
        bench.run_for(bench.source.waits[-1] + 2.0 * PROMPT_ANSWER_MS)
        bench.source.answer(table_update(10))
        bench.run_for(1.0)
        assert len(bench.source.calls) == calls + 1
        assert bench.source.limits[-1] == READ_TIMEOUT_MS


def test_a_read_made_at_the_end_of_a_silent_outage_is_followed_by_another_one():
    bench = make_reader()
    calls = len(bench.source.calls)
    end_silent_read(bench)
    bench.run_for(150.0)
    assert len(bench.source.calls) == calls + 1
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.changes[-1] == TWO
    assert bench.follower.version == at(12)


def test_a_vm_reads_the_store_itself_where_its_readers_tell_of_old_confirmations():
    bench = make_non_reader()
    timing = bench.follower._settings.timing
    calls = len(bench.source.calls)
    age = timing.reader_timeout + 300.0
    confirmed_at = bench.clock.now()
    while bench.clock.now() < confirmed_at + age:
        ago = bench.clock.now() - confirmed_at
        notice = bench.follower.notices.make_notice(at(10), ())._replace(
            confirmed_ago=ago
        )
        bench.follower.on_notice("10.0.0.1:7000", notice)
        bench.run_for(100.0)
    assert len(bench.source.calls) == calls + 1


def test_readers_that_read_the_same_change_do_not_notice_silence_all_at_the_same_time():
    waits = []
    for seed in range(6):
        bench = make_reader(seed=seed)
        bench.source.answer(table_update(12, config=b"two"))
        bench.run_for(1.0)
        waits.append(bench.source.waits[-1])
    poll = bench.follower._settings.timing.poll
    assert min(waits) < 0.5 * poll
    assert max(waits) <= poll
    assert len(set(waits)) == len(waits)


def test_a_refused_read_does_not_let_the_next_one_be_silent_for_longer():
    bench = make_reader()
    bench.source.answer(table_update(10))
    bench.run_for(1.0)
    bench.source.fail()
    calls = len(bench.source.calls)
    bench.run_for(200.0)
    assert len(bench.source.calls) == calls + 1
    assert bench.source.limits[-1] == PROMPT_ANSWER_MS
    end_silent_read(bench)
    assert len(bench.source.calls) == calls + 2
    assert bench.source.limits[-1] == READ_TIMEOUT_MS


@pytest.mark.parametrize("drain_timeout", [1_300.0, 2_000.0, 2_500.0, 3_000.0, 5_000.0])
def test_a_request_sent_on_the_latest_news_arrives_before_the_drain_timeout(
    drain_timeout,
):
    timing = derive_instance_timing(drain_timeout)
    assert timing.longest_without_news + SENDING_MS <= drain_timeout
    assert timing.poll + PROMPT_ANSWER_MS < timing.reader_timeout
    # A shorter drain timeout can't be met, which is logged at the start.
    assert not derive_instance_timing(1_200.0).meets(1_200.0 - SENDING_MS)


@pytest.mark.parametrize("drain_timeout", BOUNDS_MS)
def test_the_first_own_read_after_the_end_of_all_readers_shows_no_outage(drain_timeout):
    bench = make_non_reader(timing=derive_instance_timing(drain_timeout))
    calls = len(bench.source.calls)
    while len(bench.source.calls) == calls:
        bench.run_for(1.0)
    bench.run_for(bench.source.waits[-1] + PROMPT_ANSWER_MS - 1.0)
    bench.source.answer(table_update(12, config=b"two"))
    assert bench.follower.outages.back_at is None
