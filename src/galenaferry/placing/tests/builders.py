"""Builders of options and wishes."""

from galenaferry.backends.messages import Instance
from galenaferry.placing.decisions import Option, Wish

QUERY = Wish(is_repeatable=True, answer_kb=5.0, floor=0.7)
BOOKING = Wish(is_repeatable=False, answer_kb=1.5, floor=0.7)
ARCHIVE = Wish(is_repeatable=True, answer_kb=90.0, floor=0.7)


def instance(number, zone="north", **parts):
    return Instance(
        f"10.0.0.{number}:80", "bookings", zone, False, f"i-{number}", **parts
    )


def option(number, **parts):
    state = {
        "sick": 0.2,
        "is_trier": False,
        "is_warm": True,
        "is_own": True,
        "is_remote": False,
        "is_cold": False,
        "in_flight": 0,
        "failed_lately": False,
        "is_avoided": False,
    }
    return Option(instance(number), **(state | parts))
