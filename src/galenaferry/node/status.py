"""HTTP interface for the readiness, state and metrics of a VM."""

import hmac
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
    lift : callable
        Lets a blocked request through again, given its fingerprint; returns whether it
        was blocked or suspected.
    admin_token : str
        Bearer token of operators; empty if changes are not permitted.
    """

    def __init__(
        self,
        is_ready: Callable[[], tuple[bool, str]],
        dump: Callable[[], dict[str, Any]],
        metrics: Callable[[], str],
        lift: Callable[[bytes], bool],
        admin_token: str = "",
    ) -> None:
        self._is_ready = is_ready
        self._dump = dump
        self._metrics = metrics
        self._lift = lift
        self._admin_token = admin_token

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
            case "POST /v1/crashing-requests/lift":
                return self._respond_lift(request)
        return JsonResponse(404, {"error": "not found"})

    def _respond_lift(self, request: JsonRequest) -> JsonResponse:
        expected = f"Bearer {self._admin_token}".encode()
        given = request.headers.get("authorization", "").encode()
        if not self._admin_token or not hmac.compare_digest(given, expected):
            return JsonResponse(401, {"error": "a valid bearer token is needed"})
        text = request.query.get("fingerprint", "")
        try:
            fingerprint = bytes.fromhex(text)
        except ValueError:
            return JsonResponse(400, {"error": f"fingerprint {text!r} is not hex"})
        if not self._lift(fingerprint):
            error = f"no request with fingerprint {text} is blocked or suspected"
            return JsonResponse(404, {"error": error})
        return JsonResponse(200, {"lifted": text})
