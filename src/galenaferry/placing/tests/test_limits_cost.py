"""What callers lose because many VMs keep to limits that all instances name."""

import pytest

from galenaferry.placing.tests.limited_fleet import LimitedFleet

INSTANCES = 19
SETTLE_S = 12.0
MEASURED_S = 20.0
LEAST_SHARE = 0.9
"""Least part of what one VM with all requests and all knowledge would send."""


def sent_share(vms, limit, rate):
    """Return the share of requests that get an instance while all of them limit."""
    fleet = LimitedFleet(vms=vms, instances=INSTANCES, rate=rate)
    fleet.limit_by_id = {f"i-{number}": limit for number in range(INSTANCES)}
    fleet.run(SETTLE_S)
    fleet.refused = 0
    fleet.run(MEASURED_S)
    assert all(fleet.excess(number) <= 0.0 for number in range(INSTANCES) if vms > 1)
    return 1.0 - fleet.refused / (rate * MEASURED_S)


@pytest.mark.parametrize(
    ("limit", "rate"), [(1.0, 70.0), (1.0, 30.0), (1.7, 70.0), (1.7, 30.0)]
)
def test_many_vms_refuse_little_more_for_limits_than_one_vm_would(limit, rate):
    least = LEAST_SHARE * sent_share(1, limit, rate)
    assert sent_share(44, limit, rate) >= least
