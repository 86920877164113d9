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


def test_a_crashing_request_of_changing_callers_stops_reaching_instances():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    stream = 400.0, lambda number: fleet.get(POISON.decode(), caller=200 + number)
    fleet.run(16.0, harmless(fleet), stream)
    assert excess_retries(fleet) <= 0


def test_a_crashing_request_with_changing_queries_stops_reaching_instances():
    fleet = Fleet()
    targets = [b"%b?page=%d" % (POISON, number) for number in range(60)]
    fleet.crashing.update((target, b"") for target in targets)
    stream = 400.0, lambda number: fleet.get(targets[number].decode(), caller=201)
    fleet.run(16.0, harmless(fleet), stream)
    assert sum(excess_retries(fleet, t) + 3 for t in targets) <= ALLOWED_RETRIES


def test_lost_messages_do_not_let_a_crashing_request_through():
    fleet = Fleet(loss=0.3)
    fleet.crashing.add(NO_BODY)
    fleet.run(16.0, harmless(fleet), poison(fleet))
    assert excess_retries(fleet) <= 0


def test_a_crashing_request_ends_three_instances_at_most_from_few_callers():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    fleet.run(16.0, harmless(fleet), poison(fleet))
    assert len(fleet.crashes) == 3


def test_one_request_with_many_attempts_does_not_crash_instance_after_instance():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    fleet.get(POISON.decode())
    fleet.run(8.0, harmless(fleet))
    assert len(fleet.crashes) == 2


def test_other_requests_are_served_while_a_request_crashes_instances():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    requests = []
    send = lambda number: requests.append(  # noqa: E731
        fleet.get(f"/read/{number}", caller=number % 200)
    )
    fleet.run(12.0, (40.0, send), poison(fleet))
    fleet.run(2.0)
    assert sum(r.status == 200 for r in requests) >= 0.97 * len(requests)


def test_a_popular_request_in_flight_at_crashes_is_not_blocked():
    fleet = Fleet()
    targets = [f"/read/poison-{number}".encode() for number in range(8)]
    fleet.crashing.update((target, b"") for target in targets)
    popular = []
    fleet.run(
        12.0,
        (15.0, lambda _: popular.append(fleet.get("/read/popular", caller=7))),
        (700.0, lambda n: fleet.get(targets[n % 8].decode(), caller=201)),
    )
    fleet.run(2.0)
    assert len(fleet.crashes) >= 6
    popular_key = {a.target for a in fleet.arrivals_of(b"/read/popular")}
    assert popular_key
    assert sum(r.status == 200 for r in popular) >= 0.95 * len(popular)
    assert all(
        len(vm.guard.blocked) <= len(targets) and vm.guard.suspect_count < 12
        for vm in fleet.vms
    )


def test_the_same_request_of_another_caller_is_not_blocked():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    fleet.run(14.0, poison(fleet))
    assert fleet.vms[0].guard.blocked
    fleet.crashing.clear()
    blocked, other = (fleet.get(POISON.decode(), caller=c) for c in (201, 202))
    fleet.run(1.0)
    assert (blocked.status, other.status) == (503, 200)


def test_a_body_that_comes_in_chunks_does_not_hide_a_crashing_request():
    fleet = Fleet()
    fleet.crashing.add((b"/book/poison", b"x" * 3000))
    stream = (
        400.0,
        lambda number: fleet.post(
            "/book/poison", b"x" * 3000, caller=201, chunks=(0, 700)[number % 2]
        ),
    )
    fleet.run(14.0, stream)
    assert len(fleet.crashes) == 3


def test_another_body_at_the_same_target_is_let_through():
    fleet = Fleet()
    fleet.crashing.add((b"/book/poison", b"bad"))
    bad = 400.0, lambda number: fleet.post("/book/poison", b"bad", caller=201)
    fleet.run(14.0, bad)
    good = [
        fleet.post("/book/poison", b"good", caller=201, chunks=chunks)
        for chunks in (0, 2)
    ]
    fleet.run(1.0)
    assert [request.status for request in good] == [200, 200]


def test_a_blocked_request_is_refused_at_once_without_an_invitation():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    fleet.run(14.0, poison(fleet))
    request = fleet.get(POISON.decode(), caller=201)
    fleet.run(0.2)
    assert request.status == 503
    assert request.answered_at - request.sent_at < 50.0
    assert request.header("retry-after") is None


def test_a_vm_that_starts_again_still_refuses_a_blocked_request():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    fleet.run(14.0, poison(fleet))
    for number in range(len(fleet.vms)):
        fleet.restart(number)
    fleet.run(3.0, poison(fleet))
    assert len(fleet.crashes) == 3


def test_a_vm_that_misses_all_broadcasts_learns_of_a_blocked_request():
    fleet = Fleet(loss=0.7)
    fleet.crashing.add(NO_BODY)
    fleet.run(20.0, harmless(fleet), poison(fleet))
    fleet.run(6.0, harmless(fleet))
    assert all(vm.guard.blocked for vm in fleet.vms)


def test_a_mended_version_is_tried_once_by_the_fleet_and_then_serves_the_request():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    fleet.run(14.0, poison(fleet))
    fleet.release("v2")
    fleet.run(3.0, poison(fleet))
    request = fleet.get(POISON.decode(), caller=201)
    fleet.run(0.2)
    assert request.status == 200
    assert len(fleet.crashes) == 3
    assert len(fleet.claimed_trials) == 1


def test_a_version_that_is_not_mended_costs_one_more_instance():
    fleet = Fleet()
    fleet.crashing.add(NO_BODY)
    fleet.crashing_versions.add("v2")
    fleet.run(14.0, poison(fleet))
    fleet.release("v2")
    fleet.run(8.0, poison(fleet))
    assert len(fleet.crashes) == 4


def test_connections_that_are_reset_are_no_crashes():
    fleet = Fleet()
    resets = 500.0, lambda number: [server.reset() for server in fleet.servers]
    popular = 20.0, lambda number: fleet.get("/read/popular", caller=7)
    fleet.run(8.0, popular, resets)
    assert not any(vm.guard.suspect_count for vm in fleet.vms)


def test_instances_that_leave_by_plan_are_no_crashes():
    fleet = Fleet()
    leaving = fleet.servers[:5]
    popular = 5.0, lambda number: fleet.get("/read/popular", caller=7)
    fleet.run(0.5, popular)
    fleet.listed = fleet.listed[5:]
    fleet.list_instances()
    for server in leaving:
        server.crash()
    fleet.run(3.0)
    assert not any(vm.guard.suspect_count for vm in fleet.vms)


def test_a_vm_that_reaches_no_instance_blocks_nothing():
    fleet = Fleet()
    popular = 10.0, lambda number: fleet.get("/read/popular", caller=7)
    fleet.run(1.0, popular)
    fleet.cut(0, "reset")
    fleet.run(6.0, popular)
    assert not any(vm.guard.blocked for vm in fleet.vms)
    others = {name: n for (name, status), n in fleet.outcomes.items() if status == 200}
    assert all(others[vm.name] > 50 for vm in fleet.vms[1:])


def test_responses_with_errors_are_no_crashes():
    fleet = Fleet()
    for server in fleet.servers:
        server.status = b"502 Bad Gateway"
    fleet.run(3.0, (30.0, lambda number: fleet.get("/read/popular", caller=7)))
    assert not any(vm.guard.suspect_count for vm in fleet.vms)
