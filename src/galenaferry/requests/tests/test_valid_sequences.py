"""Valid requests on kept connections are never answered as if they were wrong."""

import re
from typing import NamedTuple

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from galenaferry.framing.heads import CONTINUE
from galenaferry.framing.tests.builders import (
    MAX_BODY_BYTES,
    MAX_HEADER_VALUE_BYTES,
    split_at,
    valid_requests,
)
from galenaferry.requests.interface import RequestSettings
from galenaferry.requests.tests.builders import (
    apply_limits,
    faulty,
    healthy,
    make_unconfigured_bench,
    use_early_instance,
)

ANSWER = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r\n]*\r\n((?:[^\r\n]+\r\n)*)\r\n")
REQUEST_ID = re.compile(rb"x-request-id: (\d+)\r\n")
TIMEOUT_MS = 150.0
NEVER = 1_000

MODES = {
    "healthy": healthy,
    "slow": lambda: faulty(slow_factor=5.0),
    "shedding": lambda: faulty(slots=0),
    "failing": lambda: faulty(error_part=1.0),
    "resetting": lambda: faulty(reset_part=1.0),
    "truncating": lambda: faulty(truncate_part=1.0),
    "garbling": lambda: faulty(garbage_part=1.0),
    "silent": lambda: faulty(silent_part=1.0),
    "early": healthy,
}


class Play(NamedTuple):
    """Requests of one connection and what happens while they arrive.

    The configuration arrives, and the graceful stop begins, before the part with the
    given index. ``gaps`` are the times after the parts, in milliseconds.
    """

    requests: list
    last: object
    positions: list
    gaps: list
    mode: str
    is_node: bool
    configured_before: int
    stopped_before: int


PLAYS = st.builds(
    Play,
    requests=st.lists(valid_requests(), max_size=4),
    last=valid_requests(closings=("", "close", "1.0")),
    positions=st.lists(st.integers(0, 200_000), max_size=8),
    gaps=st.lists(st.sampled_from([0.0, 2.0, 9.0, 60.0, 250.0]), min_size=1),
    mode=st.sampled_from(sorted(MODES)),
    is_node=st.booleans(),
    configured_before=st.sampled_from([0, 0, 0, 1, 2, 4, NEVER]),
    stopped_before=st.sampled_from([NEVER, NEVER, 0, 1, 2, 4]),
)


def as_sent(play):
    """Return the requests without what HTTP/1.0 doesn't have."""
    last = play.last
    if last.closing == "1.0":
        last = last._replace(chunk_bytes=0, expects_continue=False)
    return [*play.requests, last]


def make_bench(mode, is_node):
    """Return a bench, and the routes of its VM, which has no configuration yet."""
    node_settings = RequestSettings(
        is_half_close_disconnect=True, buffer_limit_bytes=65_536
    )
    parts = {"settings": node_settings} if is_node else {}
    bench, routes = make_unconfigured_bench(MODES[mode](), **parts)
    if mode == "early":
        use_early_instance(bench)
    return bench, routes


def prepare_part(play, bench, routes, index):
    """Let the configuration arrive, or the stop begin, if it is time."""
    if index == play.configured_before:
        apply_limits(
            routes,
            1,
            total_timeout=TIMEOUT_MS,
            head_bytes=MAX_HEADER_VALUE_BYTES + 200,
            body_bytes=MAX_BODY_BYTES,
        )
    if index == play.stopped_before:
        bench.context.is_stopping = True
        bench.component.stop_accepting()


def run(play):
    """Return the bench after the play, its caller, and the number of requests sent."""
    bench, routes = make_bench(play.mode, play.is_node)
    caller = bench.caller()
    requests = as_sent(play)
    data = b"".join(request.encode(n) for n, request in enumerate(requests))
    for index, part in enumerate(split_at(data, play.positions)):
        prepare_part(play, bench, routes, index)
        try:
            caller.send(part)
        except OSError:
            break
        bench.run_for(play.gaps[index % len(play.gaps)], caller)
    bench.run(lambda: caller.is_closed or len(answers(caller)) == len(requests), caller)
    return bench, caller, len(requests)


def answers(caller):
    """Return the status and request id of each final answer, complete or not."""
    found = []
    for status, headers in ANSWER.findall(caller.received):
        if status != b"100":
            request_id = REQUEST_ID.search(headers)
            found.append((int(status), request_id and int(request_id.group(1))))
    return found


@seed(32)
@settings(max_examples=150, deadline=None, database=None)
@given(PLAYS)
def test_no_sequence_of_valid_requests_is_taken_for_a_wrong_one(play):
    bench, caller, _ = run(play)
    assert [status for status, _ in answers(caller) if 400 <= status < 500] == []
    assert bench.context.counters.framing_errors == 0


@seed(33)
@settings(max_examples=100, deadline=None, database=None)
@given(PLAYS)
def test_no_valid_request_on_an_open_connection_is_left_without_its_answer(play):
    _, caller, count = run(play)
    ids = [request_id for _, request_id in answers(caller)]
    assert ids == list(range(len(ids)))
    assert caller.is_closed or len(ids) == count


def send_patiently(bench, caller, request, number):
    """Send the body of a request only after 100; return whether others may follow."""
    request = request._replace(expects_continue=request.closing != "1.0")
    head, separator, body = request.encode(number).partition(b"\r\n\r\n")
    before = len(caller.received)
    try:
        caller.send(head + separator)
    except OSError:
        return False
    bench.run(lambda: caller.is_closed or len(caller.received) > before, caller)
    received = caller.received[before:]
    if caller.is_closed:
        return False
    if body and not received.startswith(CONTINUE):
        assert b"\r\nconnection: close\r\n" in received
        return False
    caller.send(body)
    bench.run(lambda: caller.is_closed or len(answers(caller)) > number, caller)
    return not caller.is_closed


@seed(35)
@settings(max_examples=100, deadline=None, database=None)
@given(PLAYS)
def test_a_body_that_its_caller_keeps_back_is_not_taken_from_its_next_request(play):
    bench, routes = make_bench(play.mode, play.is_node)
    caller = bench.caller()
    for number, request in enumerate(as_sent(play)):
        prepare_part(play, bench, routes, number)
        if not send_patiently(bench, caller, request, number):
            break
    assert [status for status, _ in answers(caller) if 400 <= status < 500] == []
    assert bench.context.counters.framing_errors == 0
