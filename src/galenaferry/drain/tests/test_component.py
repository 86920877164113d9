"""What a graceful shutdown calls and logs."""

import json
from io import StringIO

from circuits import Component

from galenaferry.clock import FakeClock
from galenaferry.drain.component import MAX_LOGGED_REQUESTS, DrainComponent
from galenaferry.logs import StructuredHandler
from galenaferry.network.loop import Loop


class StreamOutput:
    def __init__(self):
        self.stream = StringIO()

    def write_line(self, line):
        self.stream.write(line + "\n")
        return True


class Root(Component):
    """Root component that counts the calls of ``stop``."""

    stops = 0

    def stop(self, code=None):
        self.stops += 1


def shut_down(cut_requests, milliseconds=6_000):
    """Return the log records of a shutdown and how often the process would exit."""
    clock, output, root = FakeClock(1_000.0), StreamOutput(), Root()
    loop = Loop(clock)
    loop.register(root)
    unanswered = list(cut_requests)

    def cut_unanswered():
        cut, unanswered[:] = list(unanswered), []
        return cut

    drain = DrainComponent(
        loop,
        3_000.0,
        lambda: len(unanswered),
        lambda: None,
        lambda: None,
        2_300.0,
        cut_unanswered=cut_unanswered,
    ).register(root)
    with StructuredHandler(output, True, clock).applicationbound():
        drain.request_shutdown()
        for _ in range(milliseconds):
            if root.stops:
                break
            loop.poll(0.0)
            clock.advance(1.0)
    lines = output.stream.getvalue().splitlines()
    return [json.loads(line) for line in lines], drain.schedule


def test_the_last_line_names_the_requests_that_are_cut():
    """Guards against requests that are cut at the exit without a trace in the log."""
    records, schedule = shut_down([f"r{n}" for n in range(MAX_LOGGED_REQUESTS + 5)])
    last = records[-1]
    assert last["message"] == "graceful shutdown complete"
    assert last["cut"] == MAX_LOGGED_REQUESTS + 5
    assert last["cut_requests"] == [f"r{n}" for n in range(MAX_LOGGED_REQUESTS)]
    assert schedule == (4_000.0, 6_300.0)


def test_nothing_is_cut_when_all_requests_have_ended():
    """Guards against a count of cut requests in a shutdown that has ended all."""
    records, _ = shut_down([])
    assert (records[-1]["cut"], records[-1]["cut_requests"]) == (0, [])
