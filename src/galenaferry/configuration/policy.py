"""Values that the configuration sets for a service, route, zone or instance."""

from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from ..ini import choice_parser, int_parser

BY_METHOD: Final = "by-method"
REFUSE: Final = "refuse"
WAIT: Final = "wait"


class Policy(NamedTuple):
    """All values that defaults set and exceptions override.

    The fields are the keys of the INI text. Times are in milliseconds, sizes in bytes.

    Attributes
    ----------
    floor_percent : int
        Minimum share of a service's instances that get full traffic. Unhealthy
        instances (see ``health.floor.Rank``) are admitted if there are too few healthy
        ones.
    days_between_false_ejections : int
        Mean time after which a healthy instance may be ejected by mistake. A longer
        time makes the detection of unhealthy instances slower.
    attempt_timeout_ms : int
        Longest wait for the head of a response after a part of the request was sent.
    total_timeout_ms : int
        Time for a request with all its attempts; a caller may set a shorter one.
    connect_timeout_ms : int
        Time to connect to an instance.
    idle_timeout_ms : int
        Time from the head of a response to its end.
    retry_budget_percent : int
        Retries after failures per 100 requests.
    shed_retry_percent : int
        Retries per 100 requests after a shed: an instance certified that it did not
        execute the request.
    max_attempts : int
        Includes the first attempt.
    connections_per_instance : int
        Limit on an instance's connections for all VMs together.
    slots_per_instance : int
        Requests that an instance processes at a time.
    queue_limit : int
        Requests to one service that may wait on one VM for an instance.
    max_body_bytes : int
        Largest body of a request.
    cold_start_ms : int
        Time after an instance is first listed in which it gets less traffic.
    idempotent : str
        Whether requests are idempotent, so that they may be retried even if they may
        have been executed: ``yes``, ``no``, or ``by-method`` for GET, HEAD and OPTIONS
        only.
    claims_outage : str
        What happens to a request whose idempotency key can't be claimed during an
        outage of the platform: ``refuse`` it after the platform's timeout, or ``wait``
        until its deadline.
    importance : int
        The queue takes requests of importance 1 only up to a part of its limit, those
        of 2 up to a larger part, and those of 3 up to the whole.
    """

    floor_percent: int = 60
    days_between_false_ejections: int = 10
    attempt_timeout_ms: int = 5000
    total_timeout_ms: int = 15000
    connect_timeout_ms: int = 500
    idle_timeout_ms: int = 30000
    retry_budget_percent: int = 10
    shed_retry_percent: int = 30
    max_attempts: int = 3
    connections_per_instance: int = 330
    slots_per_instance: int = 6
    queue_limit: int = 64
    max_body_bytes: int = 1 << 30
    cold_start_ms: int = 10000
    idempotent: str = BY_METHOD
    claims_outage: str = REFUSE
    importance: int = 2


DEFAULT_POLICY: Final = Policy()

PARSER_BY_KEY: Final[dict[str, Callable[[str], Any]]] = {
    "floor_percent": int_parser(0, 100),
    "days_between_false_ejections": int_parser(1, 10_000),
    "attempt_timeout_ms": int_parser(10, 3_600_000),
    "total_timeout_ms": int_parser(10, 3_600_000),
    "connect_timeout_ms": int_parser(1, 60_000),
    "idle_timeout_ms": int_parser(100, 3_600_000),
    "retry_budget_percent": int_parser(0, 100),
    "shed_retry_percent": int_parser(0, 100),
    "max_attempts": int_parser(1, 10),
    "connections_per_instance": int_parser(1, 100_000),
    "slots_per_instance": int_parser(1, 10_000),
    "queue_limit": int_parser(0, 100_000),
    "max_body_bytes": int_parser(0, 1 << 40),
    "cold_start_ms": int_parser(0, 3_600_000),
    "idempotent": choice_parser(BY_METHOD, "yes", "no"),
    "claims_outage": choice_parser(REFUSE, WAIT),
    "importance": int_parser(1, 3),
}


def with_values(policy: Policy, values: Iterable[tuple[str, Any]]) -> Policy:
    """Return ``policy`` with some values replaced."""
    return policy._replace(**dict(values))
