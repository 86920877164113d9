"""The ways in which an attempt can end."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Execution(Enum):
    """Whether the work of a request ran, as far as it is proved."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class Retry(Enum):
    """Which requests may be attempted again."""

    ALWAYS = "always"
    IDEMPOTENT = "idempotent"
    NEVER = "never"


class Evidence(Enum):
    """What the end of an attempt says of the instance."""

    SUCCESS = "success"
    FAILURE = "failure"
    LINK = "link"
    CONNECTION = "connection"
    SHED = "shed"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was made, so that no byte could have left."""

    reason: str


@dataclass(frozen=True, slots=True)
class BrokenUnsent:
    """The connection broke before the first byte of the request left."""

    reason: str


@dataclass(frozen=True, slots=True)
class CertifiedNotRun:
    """The backend server certified that it did not run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Misdirected:
    """Another instance has the address and did not run the request."""


@dataclass(frozen=True, slots=True)
class BrokenSent:
    """The connection broke after a byte of the request could have left.

    ``is_reused`` tells whether the connection had served a request before.
    """

    reason: str
    is_reused: bool


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No head of a response came in time.

    ``is_reused`` tells whether the connection had served a request before.
    """

    is_reused: bool


@dataclass(frozen=True, slots=True)
class BadResponse:
    """The response broke the framing rules before its head was passed on."""

    text: str


@dataclass(frozen=True, slots=True)
class BrokenResponse:
    """The response ended early after its head was passed on."""

    reason: str


@dataclass(frozen=True, slots=True)
class BrokenHeld:
    """The response ended early, and the caller has seen nothing of it."""

    reason: str


@dataclass(frozen=True, slots=True)
class ServerFault:
    """A whole response with a status of the server's own trouble."""

    status: int


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole response that is the request's answer."""

    status: int


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller's connection ended before the answer."""


AttemptOutcome = (
    NotConnected
    | BrokenUnsent
    | CertifiedNotRun
    | Misdirected
    | BrokenSent
    | TimedOut
    | BadResponse
    | BrokenResponse
    | BrokenHeld
    | ServerFault
    | Answered
    | CallerLeft
)


class Verdict(NamedTuple):
    """What follows from the end of an attempt.

    ``status`` is the answer of the fleet's own, 0 where the backend server's
    answer is passed on or nobody is left to answer.
    """

    execution: Execution
    retry: Retry
    status: int
    evidence: Evidence
    is_charged: bool
