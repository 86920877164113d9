"""Outcomes of an attempt and the evaluation that follows from each."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Execution(Enum):
    """Whether a backend server executed a request, as far as that is proven."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class Retry(Enum):
    """Which requests may be retried after an outcome."""

    ALWAYS = "always"
    IDEMPOTENT = "idempotent"
    NEVER = "never"


class Evidence(Enum):
    """What the outcome of an attempt indicates about the health of the instance."""

    SUCCESS = "success"
    FAILURE = "failure"
    LINK = "link"
    """The instance could not be reached or another one has its address."""
    CONNECTION = "connection"
    """A reused connection failed; the instance itself may be healthy."""
    SHED = "shed"
    """The instance rejected the request without executing it."""
    REFUSED = "refused"
    """Another VM did not pass the request on, or not to its end; no instance is at
    fault."""
    NONE = "none"


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was established, so no byte of the request was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class BrokenUnsent:
    """The connection failed before the first byte of the request was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class CertifiedNotRun:
    """The backend server stated that it did not execute the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Misdirected:
    """Another instance now has the address; it did not execute the request."""


@dataclass(frozen=True, slots=True)
class RelayRefused:
    """Another VM, asked to pass the request on, sent it to no instance.

    Its status says nothing about the request: it may have another configuration or key.
    """

    status: int


@dataclass(frozen=True, slots=True)
class RelayFailed:
    """Another VM took the request for wrong when an instance may have run it."""

    status: int


@dataclass(frozen=True, slots=True)
class Relayed:
    """The final answer came by way of another VM.

    ``is_answered`` is True if an instance answered with a status below 500.
    """

    status: int
    is_answered: bool


@dataclass(frozen=True, slots=True)
class BrokenSent:
    """The connection failed after a byte of the request may have been sent.

    ``is_reused`` is True if the connection had carried an earlier request.
    """

    reason: str
    is_reused: bool


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No response head arrived before the timeout.

    ``is_reused`` is True if the connection had carried an earlier request.
    """

    is_reused: bool


@dataclass(frozen=True, slots=True)
class BadResponse:
    """The response was malformed and its head was not forwarded."""

    text: str


@dataclass(frozen=True, slots=True)
class BrokenResponse:
    """The response was truncated after its head had been forwarded."""

    reason: str


@dataclass(frozen=True, slots=True)
class BrokenHeld:
    """The response was truncated while buffered; the caller has received none of it."""

    reason: str


@dataclass(frozen=True, slots=True)
class ServerFault:
    """A complete response with a status that reports a server error."""

    status: int


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete response that is the final answer to the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Overtaken:
    """The attempt was cancelled, since another one of the request was answered first.

    ``is_sent`` is True if a byte of the request may have been sent.
    """

    is_sent: bool


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection before the answer."""


AttemptOutcome = (
    NotConnected
    | BrokenUnsent
    | CertifiedNotRun
    | Misdirected
    | RelayRefused
    | RelayFailed
    | Relayed
    | BrokenSent
    | TimedOut
    | BadResponse
    | BrokenResponse
    | BrokenHeld
    | ServerFault
    | Answered
    | Overtaken
    | CallerLeft
)
"""How an attempt ended.

``health.posteriors.Outcome`` has fewer values: those that VMs send to each other.
"""


class OutcomeEvaluation(NamedTuple):
    """What follows from the outcome of an attempt, for the request and the instance.

    ``status`` is the status of the response that the proxy generates itself; it is
    0 if the backend server's response is forwarded or the caller has left.
    ``is_charged`` is True if a retry is charged to a retry budget.
    """

    execution: Execution
    retry: Retry
    status: int
    evidence: Evidence
    is_charged: bool
