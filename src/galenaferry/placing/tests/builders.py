"""Builders of candidates and request profiles.

A query is an idempotent request, a booking one that is not, and an archive a query with
a large response.
"""

from galenaferry.backends.messages import Instance
from galenaferry.placing.decisions import Candidate, RequestProfile

QUERY = RequestProfile(is_idempotent=True, response_kb=5.0, floor=0.7)
BOOKING = RequestProfile(is_idempotent=False, response_kb=1.5, floor=0.7)
ARCHIVE = RequestProfile(is_idempotent=True, response_kb=90.0, floor=0.7)


def instance(number, zone="north", **parts):
    return Instance(
        f"10.0.0.{number}:80", "bookings", zone, False, f"i-{number}", **parts
    )


def candidate(number, **parts):
    state = {
        "sick_probability": 0.2,
        "is_prober": False,
        "has_idle_connection": True,
        "has_owned_slot": True,
        "is_remote_zone": False,
        "is_cold": False,
        "in_flight": 0,
        "has_recent_failure": False,
        "is_unavailable": False,
    }
    return Candidate(instance(number), **(state | parts))
