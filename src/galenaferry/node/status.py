"""Readiness, state and counters of a VM over HTTP."""

from collections.abc import Callable
from typing import Any

from ..network.json_server import JsonRequest, JsonResponse
from ..requests.messages import RequestCounters


class StatusInterface:
    """Answers to the balancer and to operators.

    Parameters
    ----------
    is_ready : callable
        Gives whether callers may come, and why not.
    dump : callable
        Gives the state as JSON data.
    counters : RequestCounters
    """

    def __init__(
        self,
        is_ready: Callable[[], tuple[bool, str]],
        dump: Callable[[], dict[str, Any]],
        counters: RequestCounters,
    ) -> None:
        self._is_ready = is_ready
        self._dump = dump
        self._counters = counters

    def respond(self, request: JsonRequest) -> JsonResponse:
        """Answer one request."""
        match f"{request.method} {request.path}":
            case "GET /ready":
                is_ready, reason = self._is_ready()
                return JsonResponse(200 if is_ready else 503, f"{reason}\n")
            case "GET /v1/state":
                return JsonResponse(200, self._dump())
        return JsonResponse(404, {"error": "not found"})
