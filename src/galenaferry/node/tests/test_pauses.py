"""A process that was paused for some seconds and then goes on."""

from galenaferry.discovery.tests.builders import FollowerBench, table_update
from galenaferry.node.pauses import HOLD_MS, PauseGuard


class FakeContext:
    startup_queue = None


class PausedVm:
    """A VM that knows one instance and gets a request on a pipe."""

    def __init__(self):
        self.bench = FollowerBench()
        self.loop = self.bench.loop
        self.bench.source.answer(table_update(10, True, one=b"ready"))
        self.bench.run_for(10.0)
        self.context = FakeContext()
        self.is_stopping = False
        self.guard = PauseGuard(
            self.loop,
            self.context,
            (self.bench.follower.refresh,),
            lambda: self.is_stopping,
        )
        self.sent_while = []

    def pause(self, interval):
        self.bench.clock.advance(interval)
        self.loop.poll(0.0)

    def request(self):
        """Start a request; record the state of the instance when it is sent."""

        def send():
            return self.sent_while.append(self.bench.follower.value_by_key["one"])

        queue = self.context.startup_queue
        if queue is None or not queue.enqueue(send):
            send()


def test_a_request_after_a_pause_waits_for_what_happened_meanwhile():
    vm = PausedVm()
    calls = len(vm.bench.source.calls)
    vm.pause(5_000.0)
    vm.request()
    assert vm.sent_while == []
    assert len(vm.bench.source.calls) == calls + 1
    vm.bench.source.answer(table_update(12, one=b"draining"))
    vm.bench.run_for(HOLD_MS + 10.0)
    assert vm.sent_while == [b"draining"]


def test_a_request_is_held_only_shortly_if_the_store_is_away():
    vm = PausedVm()
    vm.pause(5_000.0)
    vm.request()
    vm.bench.run_for(HOLD_MS + 10.0)
    assert vm.sent_while == [b"ready"]


def test_nothing_is_held_without_a_pause():
    vm = PausedVm()
    vm.pause(900.0)
    vm.request()
    assert vm.sent_while == [b"ready"]


def test_a_second_pause_loses_no_request_of_the_first():
    vm = PausedVm()
    vm.pause(5_000.0)
    vm.request()
    vm.pause(5_000.0)
    vm.request()
    vm.bench.run_for(HOLD_MS + 10.0)
    assert len(vm.sent_while) == 2
