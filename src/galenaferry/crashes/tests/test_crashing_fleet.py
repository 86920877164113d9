"""A fleet before instances that some requests crash."""

from galenaferry.tests.fleet import Fleet

STABILITY_MS = 3_000.0
ALLOWED_RETRIES = 3
POISON = b"/read/poison"
NO_BODY = (POISON, b"")


def excess_retries(fleet, target=POISON):
    """Return the arrivals later than ``STABILITY_MS`` after the third crash."""
    assert len(fleet.crashes) >= 3
    third_at = fleet.crashes[2][0]
    return len(fleet.arrivals_of(target, third_at + STABILITY_MS)) - ALLOWED_RETRIES


def harmless(fleet):
    """Return a stream of requests, each with a target of its own."""
    return 40.0, lambda number: fleet.get(f"/read/{number}", caller=number % 200)


def poison(fleet, caller=201):
    return 400.0, lambda number: fleet.get(POISON.decode(), caller=caller)


def test_a_request_that_crashes_each_instance_stops_reaching_instances():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    fleet.run(12.0, harmless(fleet), poison(fleet))
    assert excess_retries(fleet) <= 0


def test_a_booking_that_crashes_each_instance_stops_reaching_instances():
    fleet = Fleet()
    fleet.crashing.add((b"/book/poison", b"body"))
    stream = 400.0, lambda number: fleet.post("/book/poison", b"body", caller=201)
    fleet.run(12.0, harmless(fleet), stream)
    assert excess_retries(fleet, b"/book/poison") <= 0


def test_lost_messages_do_not_let_a_crashing_request_through():
    fleet = Fleet(loss=0.3)
    fleet.crashing.add(NO_BODY)
    fleet.run(16.0, harmless(fleet), poison(fleet))
    assert excess_retries(fleet) <= 0
