"""HTTP interface for the readiness, state and metrics of a VM."""

from collections.abc import Callable
from typing import Any

from ..network.json_server import JsonRequest, JsonResponse


class StatusInterface:
    """Responds to the load balancer and to operators.

    Parameters
    ----------
    is_ready : callable
        Returns whether requests can be served, and the reason if not.
    dump : callable
        Returns the state as JSON data.
    metrics : callable
        Returns the metrics as text.
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
        """Return the response to one request."""
        match f"{request.method} {request.path}":
            case "GET /ready":
                is_ready, reason = self._is_ready()
                return JsonResponse(200 if is_ready else 503, f"{reason}\n")
            case "GET /v1/state":
                return JsonResponse(200, self._dump())
            case "GET /metrics":
                return JsonResponse(200, self._metrics())
        return JsonResponse(404, {"error": "not found"})
