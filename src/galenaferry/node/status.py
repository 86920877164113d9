"""Readiness, state and counters of a VM over HTTP."""

from collections.abc import Callable
from typing import Any

from ..network.json_server import JsonRequest, JsonResponse


class StatusInterface:
    """Answers to the balancer and to operators.

    Parameters
    ----------
    is_ready : callable
        Gives whether callers may come, and why not.
    dump : callable
        Gives the state as JSON data.
    metrics : callable
        Gives the metrics as text.
    """

    def __init__(
        self,
        is_ready: Callable[[], tuple[bool, str]],
        dump: Callable[[], dict[str, Any]],
        metrics: Callable[[], str],
    ) -> None:
        self._is_ready = is_ready
        self._dump = dump
        self._metrics = metrics

    def respond(self, request: JsonRequest) -> JsonResponse:
        """Answer one request."""
        match f"{request.method} {request.path}":
            case "GET /ready":
                is_ready, reason = self._is_ready()
                return JsonResponse(200 if is_ready else 503, f"{reason}\n")
            case "GET /v1/state":
                return JsonResponse(200, self._dump())
            case "GET /metrics":
                return JsonResponse(200, self._metrics())
        return JsonResponse(404, {"error": "not found"})
