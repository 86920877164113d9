"""Request handling of the administration interface.

Paths are versioned, requests carry a bearer token and errors are JSON objects.
"""

import hmac
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err

from ..configuration.acceptance import (
    Accepted,
    Clashing,
    Decision,
    Refused,
    Undecided,
)
from ..configuration.component import ConfigurationComponent
from ..configuration.messages import change_to_dict
from ..network.json_server import JsonRequest, JsonResponse
from ..numbers import parse_whole_number
from .messages import parse_proposal

MAX_HISTORY_ENTRIES: Final = 100
"""Number of latest changes in the response to ``/v1/history``."""

MAX_VERSION: Final = (1 << 63) - 1


class AdminSources(NamedTuple):
    """Parts of a VM that the administration interface reads and controls.

    ``is_ready`` returns whether callers may be routed to the VM and the reason.
    ``dump``, ``metrics`` and ``fleet`` return JSON data: the state of the VM, its
    metrics, and the members with their configuration versions. ``drain`` starts
    the graceful shutdown of the VM.
    """

    is_ready: Callable[[], tuple[bool, str]]
    dump: Callable[[], dict[str, Any]]
    metrics: Callable[[], Any]
    fleet: Callable[[], dict[str, Any]]
    drain: Callable[[], None]
    configuration: ConfigurationComponent


class AdminInterface:
    """Handler of operators' requests.

    Parameters
    ----------
    token : str
        Bearer token required for every path except ``/ready``; empty for none.
    sources : AdminSources
    """

    def __init__(self, token: str, sources: AdminSources) -> None:
        self._token = token
        self._sources = sources

    def respond(self, request: JsonRequest) -> JsonResponse:
        """Return the response to a request."""
        if request.path == "/ready" and request.method == "GET":
            return self._get_readiness()
        if not self._is_authorized(request):
            return _error_response(401, "unauthorized", "the token is missing or wrong")
        change_prefix = "/v1/changes/"
        if request.path.startswith(change_prefix):
            return self._handle_change(
                request, request.path.removeprefix(change_prefix)
            )
        match f"{request.method} {request.path}":
            case "GET /v1/state":
                return JsonResponse(200, self._sources.dump())
            case "GET /v1/metrics":
                return JsonResponse(200, self._sources.metrics())
            case "GET /v1/fleet":
                return JsonResponse(200, self._sources.fleet())
            case "GET /v1/configuration":
                return self._get_configuration(request.query.get("version"))
            case "GET /v1/history":
                return self._get_history()
            case "POST /v1/drain":
                self._sources.drain()
                return JsonResponse(202, {"draining": True})
        return _error_response(404, "not-found", f"{request.method} {request.path}")

    def _is_authorized(self, request: JsonRequest) -> bool:
        if not self._token:
            return True
        header = request.headers.get("authorization", "")
        return hmac.compare_digest(header.encode(), f"Bearer {self._token}".encode())

    def _get_readiness(self) -> JsonResponse:
        is_ready, reason = self._sources.is_ready()
        return JsonResponse(200 if is_ready else 503, f"{reason}\n")

    def _get_configuration(self, version: str | None) -> JsonResponse:
        state = self._sources.configuration.state
        requested = state.head.version
        if version is not None:
            number = parse_whole_number(version, MAX_VERSION)
            if isinstance(number, Err):
                return _error_response(
                    400, "bad-request", f"version {number.err_value}"
                )
            requested = number.ok_value
        sections = state.sections_at(requested)
        if sections is None:
            return _error_response(
                404, "not-found", f"version {requested} is not kept here"
            )
        return JsonResponse(200, {"version": requested, "sections": sections})

    def _get_history(self) -> JsonResponse:
        changes = list(self._sources.configuration.state.change_by_version.values())
        rows = [change_to_dict(change) for change in changes[-MAX_HISTORY_ENTRIES:]]
        return JsonResponse(200, {"changes": rows})

    def _handle_change(self, request: JsonRequest, change_id: str) -> JsonResponse:
        configuration = self._sources.configuration
        match request.method:
            case "PUT":
                try:
                    proposal = parse_proposal(change_id, request.body)
                except ValueError as error:
                    return _error_response(400, "bad-request", str(error))
                return _decision_response(configuration.propose(proposal))
            case "GET":
                decision = configuration.decision(change_id)
                if decision is None:
                    return _error_response(
                        404, "not-found", f"no change {change_id} here"
                    )
                return _decision_response(decision)
        return _error_response(405, "method-not-allowed", request.method)


def _decision_response(decision: Decision) -> JsonResponse:
    match decision:
        case Accepted(version):
            return JsonResponse(200, {"state": "accepted", "version": version})
        case Clashing(changes):
            rows = [change_to_dict(change) for change in changes]
            return JsonResponse(409, {"state": "clashing", "changes": rows})
        case Refused(findings):
            finding_rows = [finding._asdict() for finding in findings]
            return JsonResponse(422, {"state": "refused", "findings": finding_rows})
        case Undecided(reason):
            return JsonResponse(202, {"state": "undecided", "reason": reason})


def _error_response(status: int, code: str, text: str) -> JsonResponse:
    return JsonResponse(status, {"error": {"code": code, "text": text}})
