"""Log lines are bounded, and a reader that stops never holds up the process."""

import json
import os

import logbook

from galenaferry.clock import FakeClock
from galenaferry.logs.handler import StructuredHandler
from galenaferry.logs.output import LossyOutput
from galenaferry.logs.rate_limiter import LogRateLimiter, LogRateLimits

LIMITS = LogRateLimits(lines_per_second=10.0, burst=20.0)


def written(count, is_minor, rate_limiter, clock):
    return sum(
        rate_limiter.try_acquire("requests", is_minor, clock.now())
        for _ in range(count)
    )


def test_ordinary_successes_leave_room_for_failures():
    rate_limiter, clock = LogRateLimiter(LIMITS), FakeClock()
    assert written(100, True, rate_limiter, clock) == 10
    assert written(100, False, rate_limiter, clock) == 10
    assert rate_limiter.pop_omitted_counts() == {"requests": 180}


def test_ten_times_the_load_writes_no_more_than_the_bound():
    rate_limiter, clock = LogRateLimiter(LIMITS), FakeClock()
    total = 0
    for _ in range(100):
        clock.advance(100.0)
        total += written(10, False, rate_limiter, clock)
    assert total <= 10.0 * LIMITS.lines_per_second + LIMITS.burst


def test_a_full_pipe_loses_lines_without_blocking_and_ends_what_was_begun():
    reader, writer = os.pipe()
    output = LossyOutput(writer)
    lost = sum(not output.write_line("x" * 1000) for _ in range(200))
    assert lost > 50
    os.set_blocking(reader, False)
    received = os.read(reader, 1 << 20)
    assert output.write_line("last")
    received += os.read(reader, 1 << 20)
    lines = received.decode().splitlines()
    assert set(lines) == {"x" * 1000, "last"}
    os.close(reader)
    assert not output.write_line("nobody reads")
    os.close(writer)


def test_what_was_left_out_is_told_with_its_count():
    reader, writer = os.pipe()
    clock = FakeClock()
    handler = StructuredHandler(LossyOutput(writer), True, clock, LIMITS)
    with handler.applicationbound():
        for _ in range(25):
            logbook.Logger("requests").info("request", status=200)
        clock.advance(1_000.0)
        logbook.Logger("node").info("stopped")
    os.close(writer)
    with os.fdopen(reader) as lines:
        rows = [json.loads(line) for line in lines]
    assert rows[-1] == {"channel": "logs", "message": "left out", "requests": 5}
    assert rows[-2]["message"] == "stopped"
