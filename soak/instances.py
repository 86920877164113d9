"""Backend server instances of the soak, which record every execution."""

from collections import Counter, defaultdict
from collections.abc import Callable
from random import Random

from galenaferry.clock import Millis
from galenaferry.network.loop import Loop

from .connections import ServerConnection, serve
from .crash_checks import CrashChecks
from .timing import TimingChecks

WORK_MS = 30.0
"""Execution time of a request."""
SLOW_PREFIX = "/slow/"
SLOW_WORK_MS = 1_800.0
"""Execution time of a request whose path starts with ``SLOW_PREFIX``."""
MODES = (
    "well",
    "errors",
    "sheds",
    "hangs",
    "resets",
    "loses",
    "extra",
    "cuts",
    "endless",
)


class ExecutionRecord:
    """Executions and findings of one run, shared by instances and callers.

    ``new_routes`` are the prefixes that the operator added, and when.
    ``body_by_request`` has the bodies of the requests that have one to be checked.
    """

    def __init__(self) -> None:
        self.runs_by_request: Counter[str] = Counter()
        self.started_at_by_request: dict[str, Millis] = {}
        self.body_by_request: dict[str, bytes] = {}
        self.services_by_request: defaultdict[str, set[str]] = defaultdict(set)
        self.findings: list[str] = []
        self.timing = TimingChecks(self.findings)
        self.crashing_targets: set[str] = set()
        self.new_routes: list[tuple[Millis, str]] = []
        self.crashes = CrashChecks(self.timing)


class Instance:
    """One instance; in a mode other than ``well`` it fails half of its requests.

    The modes of ``MODES``: ``sheds`` responds 503 without execution. All others execute
    the request: then ``errors`` responds 500, ``hangs`` never responds, ``resets`` and
    ``loses`` close the connection, ``extra`` sends the response a second time within
    ``2 * WORK_MS``, ``cuts`` closes the connection before the end of the body, and
    ``endless`` sends a body that never ends. ``limit`` is the number of requests per
    second that it takes from the fleet, None for no limit.

    ``addresses`` are the registered address, on which a proxy listens, and the address
    on which the instance itself listens.
    """

    def __init__(
        self,
        loop: Loop,
        name: str,
        service: str,
        addresses: tuple[tuple[str, int], tuple[str, int]],
        record: ExecutionRecord,
        random: Random,
    ) -> None:
        self._loop = loop
        self._record = record
        self._random = random
        self.name = name
        self.service = service
        self.address, direct_address = addresses
        self.mode = "well"
        self.is_leaving = False
        self.limit: float | None = None
        self.born = 1
        self.on_crash: Callable[[Instance], None] = lambda instance: None
        self._sequence = 0
        self._listener = serve(loop, direct_address, self._on_request)

    def row(self, state: str) -> dict[str, object]:
        """Return the instance's row in the ``servers`` table in the given state.

        Each call counts as a report of the instance.
        """
        self._sequence += 1
        status = {"state": state, "sequence": self._sequence, "coldRemainingMs": 0}
        return {
            "address": f"{self.address[0]}:{self.address[1]}",
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "a", "slots": 6},
            "status": status,
        }

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _on_request(self, connection: ServerConnection) -> None:
        head = connection.head
        assert head is not None
        request = (head.header(b"galenaferry-request-id") or b"").decode()
        if head.header(b"galenaferry-expected-instance") != self.name.encode():
            headers = {"galenaferry-instance-id": self.name}
            headers |= {"galenaferry-request-id": request}
            connection.respond(421, headers, b"")
            return
        timing = self._record.timing
        target = head.target.decode()
        if target in self._record.crashing_targets:
            now = self._loop.clock.now()
            self._record.crashes.on_arrival(target, request, now)
            self._loop.after(WORK_MS, lambda: self._crash(target, request))
            return
        timing.on_arrival(request, self.name, self._loop.clock.now())
        mode = self.mode if self._random.random() < 0.5 else "well"
        if mode == "sheds":
            headers = {"galenaferry-not-executed": "1"}
            headers |= {"galenaferry-request-id": request}
            headers |= self._limit_header(request)
            if self._random.random() < 0.5:
                headers["retry-after"] = "0.8"
            connection.respond(503, headers, b"")
            return
        self._record.runs_by_request[request] += 1
        self._record.services_by_request[request].add(self.service)
        now = self._loop.clock.now()
        self._record.started_at_by_request[request] = now
        expected = self._record.body_by_request.get(request, connection.body)
        if connection.body != expected:
            text = f"{request} ran with {len(connection.body)} of {len(expected)} bytes"
            self._record.findings.append(text)
        timing.on_execution(request, self.name, self.service, now)
        work = SLOW_WORK_MS if target.startswith(SLOW_PREFIX) else WORK_MS
        self._loop.after(work, lambda: self._respond(connection, request, mode))

    def _crash(self, target: str, request: str) -> None:
        """End with all connections, unless another request has ended it already."""
        now = self._loop.clock.now()
        if self._record.crashes.on_crash(target, self.name, self.born, now):
            self.on_crash(self)

    def _respond(self, connection: ServerConnection, request: str, mode: str) -> None:
        if connection.is_closed:
            return
        body = expected_body(request)
        headers = {
            "galenaferry-request-id": request,
            "galenaferry-response-signature": f"s-{request}",
        }
        if self.is_leaving:
            headers["server-leaving"] = "1"
        if mode != "hangs":
            headers |= self._limit_header(request)
        match mode:
            case "hangs":
                return
            case "resets" | "loses":
                connection.close()
            case "errors":
                connection.respond(500, headers, b"failed")
            case "cuts":
                text = f"HTTP/1.1 200 x\r\ncontent-length: {len(body) + 9}\r\n"
                text += "".join(f"{k}: {v}\r\n" for k, v in headers.items())
                connection.stream.write(text.encode() + b"\r\n" + body)
                self._loop.after(1.0, connection.close)
            case "endless":
                lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
                self._record.timing.on_endless_response(request)
                connection.send_endlessly(f"HTTP/1.1 200 x\r\n{lines}\r\n".encode())
            case "extra":
                connection.respond(200, headers, body)
                delay_ms = WORK_MS * 2.0 * self._random.random()
                self._loop.after(
                    delay_ms, lambda: connection.respond(200, headers, body)
                )
            case _:
                connection.respond(200, headers, body)

    def _limit_header(self, request: str) -> dict[str, str]:
        """Return the header that names the limit, and record that it was named."""
        if self.limit is None:
            return {}
        now = self._loop.clock.now()
        self._record.timing.on_limit_named(request, self.name, self.limit, now)
        return {"server-limit": f"{self.limit:.1f}"}


def expected_body(request: str) -> bytes:
    """Return the body of the correct response to a request."""
    return f"answer to {request} ".encode() * 20
