"""Steps of a graceful shutdown."""

from galenaferry.drain.decisions import (
    FINISH_TIMEOUT_MS,
    Announce,
    Exit,
    Finish,
    Serve,
    next_step,
)


def test_shutdown_waits_for_the_balancer_and_for_requests_in_flight():
    assert next_step(None, 500.0, 3, 0.0) == Serve()
    assert next_step(100.0, 500.0, 0, 599.0) == Announce()
    assert next_step(100.0, 500.0, 3, 600.0) == Finish()
    assert next_step(100.0, 500.0, 0, 600.0) == Exit()
    assert next_step(100.0, 500.0, 3, 600.0 + FINISH_TIMEOUT_MS) == Exit()
