"""Log lines are rate-limited, and a reader that stops never blocks the process."""

import json
import os

import logbook

from galenaferry.clock import FakeClock
from galenaferry.logs.handler import StructuredHandler
from galenaferry.logs.output import LossyOutput
from galenaferry.logs.rate_limiter import LogRateLimiter, LogRateLimits

LIMITS = LogRateLimits(lines_per_second=10.0, burst=20.0)


def count_acquired(count, is_minor, rate_limiter, clock):
    return sum(
        rate_limiter.try_acquire("requests", is_minor, clock.now())
        for _ in range(count)
    )


def test_minor_lines_leave_room_for_failures():
    rate_limiter, clock = LogRateLimiter(LIMITS), FakeClock()
    assert count_acquired(100, True, rate_limiter, clock) == 10
    assert count_acquired(100, False, rate_limiter, clock) == 10
    assert rate_limiter.pop_omitted_counts() == {"requests": 180}


def test_ten_times_the_rate_stays_within_the_limits():
    rate_limiter, clock = LogRateLimiter(LIMITS), FakeClock()
    total = 0
    for _ in range(100):
        clock.advance(100.0)
        total += count_acquired(10, False, rate_limiter, clock)
    assert total <= 10.0 * LIMITS.lines_per_second + LIMITS.burst


def test_a_full_pipe_drops_whole_lines_without_blocking():
    reader, writer = os.pipe()
    output = LossyOutput(writer)
    dropped = sum(not output.write_line("x" * 1000) for _ in range(200))
    assert dropped > 50
    os.set_blocking(reader, False)
    received = os.read(reader, 1 << 20)
    assert output.write_line("last")
    received += os.read(reader, 1 << 20)
    lines = received.decode().splitlines()
    assert set(lines) == {"x" * 1000, "last"}
    os.close(reader)
    assert not output.write_line("nobody reads")
    os.close(writer)


def test_omitted_lines_are_reported_with_their_count():
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
