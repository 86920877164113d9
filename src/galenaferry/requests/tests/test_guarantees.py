"""Steps of the execution guarantees to callers."""

from pytest_bdd import given, parsers, scenarios, then, when

from galenaferry.requests.tests.builders import Bench, faulty, healthy

scenarios("guarantees.feature")

MODE_BY_FAULT = {
    "refuses connections": {},
    "sheds": {"is_draining": True},
    "answers 500": {"error_part": 1.0},
    "resets": {"reset_part": 1.0},
    "is silent": {"silent_part": 1.0},
    "answers garbage": {"garbage_part": 1.0},
}


def make_bench(fault, other):
    bench = Bench(modes=[faulty(**MODE_BY_FAULT[fault]), other])
    if fault == "refuses connections":
        bench.backends[0].listener.close()
    return bench


@given(
    parsers.parse("an instance that {fault} and a healthy one in another zone"),
    target_fixture="bench",
)
def _(fault):
    return make_bench(fault, healthy())


@given("two instances that shed", target_fixture="bench")
def _():
    return Bench(modes=[faulty(is_draining=True), faulty(is_draining=True)])


@given(
    "an instance that resets and one that refuses connections", target_fixture="bench"
)
def _():
    bench = make_bench("resets", healthy())
    bench.backends[1].listener.close()
    return bench


@when("a booking is sent", target_fixture="answer")
def _(bench):
    return bench.caller().post("/bookings/slots").answers()[0]


@when("a query is sent", target_fixture="answer")
def _(bench):
    return bench.caller().get("/bookings/list").answers()[0]


@then(parsers.parse("the answer has status {status:d} and run state {ran}"))
def _(answer, status, ran):
    assert answer[0] == status
    assert answer[1].get("galenaferry-ran", "none") == ran


@then(parsers.parse("the booking ran {runs:d} times"))
def _(bench, runs):
    assert bench.executions() == runs
