"""The search for an instance that answers, without a network."""

import pytest
from result import Err, Ok

from galenaferry.clock import FakeClock
from galenaferry.network.fetch import FetchError, FetchResponse
from galenaferry.network.loop import Loop
from galenaferry.relay import answer_check
from galenaferry.relay.answer_check import HEAD_START_MS, AnswerCheck, find_answer

CHECKS = [AnswerCheck(f"10.0.0.{number}:80", "/health") for number in range(4)]
ANSWER = Ok(FetchResponse(503, (), b""))
FAILURE = Err(FetchError("no answer within 1000 ms", True))


class SearchBench:
    def __init__(self, monkeypatch):
        self.clock = FakeClock(1_000.0)
        self.loop = Loop(self.clock)
        self.asked = []
        self.results = []
        monkeypatch.setattr(answer_check, "fetch", self._fetch)
        find_answer(self.loop, CHECKS, self.results.append)

    def _fetch(self, loop, request, done):
        assert request.target == "/health"
        assert not request.needs_body
        self.asked.append(done)

    def run_for(self, interval):
        self.clock.advance(interval)
        self.loop.poll(0.0)


def test_an_instance_that_answers_is_the_only_one_that_is_asked(monkeypatch):
    bench = SearchBench(monkeypatch)
    bench.asked[0](ANSWER)
    bench.run_for(HEAD_START_MS)
    assert bench.results == [True]
    assert len(bench.asked) == 1


@pytest.mark.parametrize("is_failed", [True, False])
def test_the_others_are_asked_if_the_first_does_not_answer(monkeypatch, is_failed):
    bench = SearchBench(monkeypatch)
    if is_failed:
        bench.asked[0](FAILURE)
    else:
        bench.run_for(HEAD_START_MS)
    assert len(bench.asked) == len(CHECKS)
    bench.asked[2](FAILURE)
    assert bench.results == []
    bench.asked[3](ANSWER)
    assert bench.results == [True]
    bench.asked[1](ANSWER)
    assert bench.results == [True]


def test_no_answer_of_any_instance_is_a_cut(monkeypatch):
    bench = SearchBench(monkeypatch)
    bench.run_for(HEAD_START_MS)
    for done in list(bench.asked):
        assert bench.results == []
        done(FAILURE)
    assert bench.results == [False]
