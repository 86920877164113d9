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
