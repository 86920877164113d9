"""Instances that limit the requests that they take from the whole fleet."""

import pytest

from galenaferry.attempts.messages import Answered, BadResponse, ServerFault
from galenaferry.placing.tests.builders import instance
from galenaferry.placing.tests.test_announcements import receive_head
from galenaferry.placing.tests.test_component import PlacementBench


def known_limit(bench, number=1):
    state = bench.placement.dump()["bookings"][instance(number).name]
    return state["limit_per_second"]


def name_limit(bench, value, number=1, sent_at=0.0):
    receive_head(bench, number, 200, Answered(200), sent_at, server_limit=value)


@pytest.mark.parametrize(
    ("value", "limit"), [(b"1.7", 1.7), (b"0", 0.0), (b" 2 ", 2.0), (b"9" * 20, 1e20)]
)
def test_a_limit_is_known_once_a_response_names_it(value, limit):
    bench = PlacementBench([instance(1), instance(2)])
    name_limit(bench, value)
    assert known_limit(bench) == limit
    assert known_limit(bench, 2) is None
    assert bench.placement.limited_count == 1


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"1e9", b"few", b"1, 2"])
def test_an_invalid_limit_changes_nothing(value):
    bench = PlacementBench([instance(1)])
    name_limit(bench, value)
    assert known_limit(bench) is None
    name_limit(bench, b"2")
    name_limit(bench, value)
    assert known_limit(bench) == 2.0


def test_a_limit_ends_with_a_success_without_it_to_a_later_request():
    bench = PlacementBench([instance(1)])
    name_limit(bench, b"2")
    named_at = bench.clock.now()
    receive_head(bench, 1, 200, Answered(200), named_at - 1.0)
    receive_head(bench, 1, 500, ServerFault(500), named_at + 1.0)
    receive_head(bench, 1, 200, BadResponse("garbled"), named_at + 1.0)
    assert known_limit(bench) == 2.0
    receive_head(bench, 1, 200, Answered(200), named_at + 1.0)
    assert known_limit(bench) is None


def test_an_instance_that_started_again_has_no_limit():
    bench = PlacementBench([instance(1, born=1)])
    bench.placement.limit_requests(instance(1, born=1), 2.0)
    bench.placement.replace_instances([instance(1, born=2)])
    assert bench.placement.limited_count == 0
