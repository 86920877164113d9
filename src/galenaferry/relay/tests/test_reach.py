"""Whether a VM reaches instances, and the choice of VMs that take its requests."""

from random import Random

import pytest

from galenaferry.framing.messages import RequestHead
from galenaferry.relay.origin import (
    RELAY_HEADER,
    Origin,
    RelayAuthentication,
    read_caller,
)
from galenaferry.relay.reach import (
    CHECKS_TO_RECOVER,
    CONTACT_MS,
    MIN_CHECK_INTERVAL_MS,
    RETURN_MS,
    OwnReach,
)
from galenaferry.relay.rejections import refusal_status
from galenaferry.relay.relay_vms import (
    EXCLUDED_MS,
    MAX_IN_FLIGHT,
    REFUSED_MS,
    RelayVm,
    RelayVms,
)

NEAR = RelayVm("10.0.0.1:9", "north")
FAR = RelayVm("10.0.0.2:9", "south")
ID_HEADER = b"x-request-id"
CALLER = Origin("10.9.0.1")
HEAD = RequestHead(
    b"GET", b"/x", "1.1", ((b"host", b"a"), (ID_HEADER, b"q1")), 0, True, False
)


def make_cut_reach():
    reach = OwnReach()
    reach.on_checked(False, 1_000.0)
    return reach


def test_a_failure_to_connect_calls_for_a_check_but_not_for_one_after_the_other():
    reach = OwnReach()
    assert reach.needs_check(True, 1_000.0)
    reach.on_check_started(1_000.0)
    assert not reach.needs_check(True, 1_000.0 + MIN_CHECK_INTERVAL_MS - 1.0)
    assert reach.needs_check(True, 1_000.0 + MIN_CHECK_INTERVAL_MS)


def test_an_overdue_answer_needs_no_check_while_others_answer():
    reach = OwnReach()
    reach.on_contact(1_000.0)
    assert not reach.needs_check(False, 1_000.0 + CONTACT_MS)
    assert reach.needs_check(False, 1_001.0 + CONTACT_MS)


def test_one_instance_that_answers_proves_the_links():
    reach = OwnReach()
    assert not reach.on_checked(True, 0.0)
    assert not reach.is_cut_off


def test_a_cut_ends_after_checks_in_a_row():
    reach = make_cut_reach()
    assert reach.is_cut_off
    for number in range(CHECKS_TO_RECOVER - 1):
        assert not reach.on_checked(True, 2_000.0 + number)
    assert not reach.on_checked(False, 2_100.0)
    for number in range(CHECKS_TO_RECOVER - 1):
        assert not reach.on_checked(True, 2_200.0 + number)
    assert reach.on_checked(True, 3_000.0)
    assert not reach.is_cut_off


def test_direct_requests_return_little_by_little():
    reach = make_cut_reach()
    assert reach.direct_share(1_500.0) == 0.0
    for _ in range(CHECKS_TO_RECOVER):
        reach.on_checked(True, 2_000.0)
    shares = [
        reach.direct_share(2_000.0 + part * RETURN_MS) for part in (0.0, 0.5, 1.0)
    ]
    assert shares == [0.0, 0.5, 1.0]
    assert OwnReach().direct_share(0.0) == 1.0


def choose(vms, in_flight=None, choice=None, now=0.0, route="r"):
    return (choice or RelayVms()).choose(
        vms, route, "north", in_flight or {}, Random(1), now
    )


def test_a_vm_of_the_own_zone_goes_first_until_it_has_many_requests():
    assert choose([FAR, NEAR]) == NEAR
    assert choose([FAR, NEAR], {NEAR.address: 8}) == FAR


def test_no_vm_takes_more_than_its_bound():
    assert choose([NEAR], {NEAR.address: MAX_IN_FLIGHT}) is None
    assert choose([]) is None


def test_a_vm_that_could_not_be_reached_is_left_out_for_some_time():
    choice = RelayVms()
    choice.on_unreachable(NEAR.address, 0.0)
    assert choose([NEAR, FAR], choice=choice, now=EXCLUDED_MS - 1.0) == FAR
    assert choose([NEAR, FAR], choice=choice, now=EXCLUDED_MS) == NEAR


def test_a_vm_that_refused_a_route_is_asked_last_for_it_and_as_before_for_others():
    choice = RelayVms()
    choice.on_refused(NEAR.address, "new", 0.0)
    busy = {FAR.address: MAX_IN_FLIGHT - 1}
    at = REFUSED_MS - 1.0
    assert choose([NEAR, FAR], busy, choice, at, "new") == FAR
    assert choose([NEAR, FAR], busy, choice, at, "known") == NEAR
    assert choose([NEAR, FAR], busy, choice, REFUSED_MS, "new") == NEAR
    assert choose([NEAR], {}, choice, at, "new") == NEAR


def relayed_head(origin=CALLER, key=b"key"):
    header = RelayAuthentication(key, ID_HEADER).header(HEAD, b"q1", origin)
    return HEAD._replace(headers=(*HEAD.headers, header))


@pytest.mark.parametrize("is_trial", [False, True])
def test_a_vm_of_the_fleet_passes_on_the_address_of_the_caller(is_trial):
    authentication = RelayAuthentication(b"key", ID_HEADER)
    head = relayed_head(Origin("10.9.0.1", is_trial=is_trial))
    origin, stripped = authentication.read_origin(head, "10.0.0.5")
    assert origin == Origin("10.9.0.1", is_relayed=True, is_trial=is_trial)
    assert stripped == HEAD


@pytest.mark.parametrize(
    "head",
    [
        HEAD,
        relayed_head(key=b"other key"),
        relayed_head()._replace(target=b"/y"),
        relayed_head()._replace(method=b"POST"),
        HEAD._replace(headers=(*HEAD.headers, (RELAY_HEADER, b""))),
        HEAD._replace(
            headers=(*HEAD.headers, (RELAY_HEADER, b"10.9.0.1 request \xff"))
        ),
    ],
)
def test_a_request_without_the_code_of_the_fleet_is_refused(head):
    origin, _ = RelayAuthentication(b"key", ID_HEADER).read_origin(head, "10.0.0.5")
    assert origin.error


def test_a_header_that_a_caller_forged_has_no_effect():
    origin, stripped = read_caller(relayed_head(), "10.9.0.7")
    assert (origin, stripped) == (Origin("10.9.0.7"), HEAD)


@pytest.mark.parametrize(
    ("head", "is_relayed"), [(HEAD, False), (relayed_head(key=b"other key"), True)]
)
def test_a_wrong_code_may_be_of_a_vm_with_another_key_but_no_code_at_all_is_of_none(
    head, is_relayed
):
    origin, _ = RelayAuthentication(b"key", ID_HEADER).read_origin(head, "10.0.0.5")
    assert origin.is_relayed is is_relayed
    assert refusal_status(origin, 403) == (503 if is_relayed else 403)


@pytest.mark.parametrize(
    ("status", "expected"), [(400, 503), (404, 503), (413, 503), (502, 502), (504, 504)]
)
def test_nothing_of_another_vm_is_rejected_as_it_may_know_better(status, expected):
    assert refusal_status(Origin(is_relayed=True), status) == expected
    assert refusal_status(CALLER, status) == status
