"""Snapshot of a whole session: requests, answers, evidence and counters."""

import re
from dataclasses import asdict

from galenaferry.claims.component import ClaimsComponent
from galenaferry.claims.tests.builders import FakePlatform
from galenaferry.requests.tests.builders import Bench, faulty, healthy

TEXT = """
[defaults]
attempt_timeout_ms = 400
total_timeout_ms = 2000

[exception reports]
scope = route POST /bookings/reports
reason = a report is asked for and changes nothing
idempotent = yes
"""

STEPS = [
    (
        "a query",
        {},
        b"GET /bookings/list HTTP/1.1\r\nHost: a\r\nX-Request-Id: q1\r\n\r\n",
    ),
    (
        "a query while an instance fails",
        {"error_part": 1.0},
        b"GET /bookings/list HTTP/1.1\r\nHost: a\r\nX-Request-Id: q2\r\n\r\n",
    ),
    (
        "a booking while an instance fails",
        {"error_part": 1.0},
        b"POST /bookings/slots HTTP/1.1\r\nHost: a\r\nX-Request-Id: b1\r\nContent-Length: 4\r\n\r\nslot",
    ),
    (
        "a booking while an instance sheds",
        {"slots": 0},
        b"POST /bookings/slots HTTP/1.1\r\nHost: a\r\nX-Request-Id: b2\r\nContent-Length: 4\r\n\r\nslot",
    ),
    (
        "a booking while an instance is silent",
        {"silent_part": 1.0},
        b"POST /bookings/slots HTTP/1.1\r\nHost: a\r\nX-Request-Id: b3\r\nContent-Length: 4\r\n\r\nslot",
    ),
    (
        "a report while an instance resets",
        {"reset_part": 1.0},
        b"POST /bookings/reports HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nContent-Length: 1\r\n\r\n?",
    ),
    (
        "a keyed booking",
        {},
        b"POST /bookings/slots HTTP/1.1\r\nHost: a\r\nX-Request-Id: k1\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nslot",
    ),
    (
        "its repeat",
        {},
        b"POST /bookings/slots HTTP/1.1\r\nHost: a\r\nX-Request-Id: k2\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nslot",
    ),
    (
        "its key for another request",
        {},
        b"POST /bookings/other HTTP/1.1\r\nHost: a\r\nX-Request-Id: k3\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nslot",
    ),
    (
        "both lengths",
        {},
        b"POST /bookings/slots HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
]


def test_session(snapshot):
    bench = Bench(TEXT, modes=[faulty(), healthy()])
    bench.context.claims = ClaimsComponent(
        bench.loop, FakePlatform(bench.loop), lambda: 1
    )
    transcript = []
    for name, mode, raw in STEPS:
        bench.backends[0].state.set_mode(mode)
        caller = bench.caller().send(raw)
        caller.answers()
        bench.run_for(500.0, caller)
        bench.backends[0].state.set_mode(
            {"error_part": 0, "slots": 6, "silent_part": 0, "reset_part": 0}
        )
        transcript += [f"## {name}", raw.decode(), "->", caller.received.decode()]
    addresses = {
        instance.address: f"instance-{n}" for n, instance in enumerate(bench.instances)
    }
    transcript.append("## evidence")
    transcript += [
        f"{addresses[address]} {kind.value}"
        for address, kind in bench.observer.evidence
    ]
    transcript += [
        "## counters",
        *(f"{k} = {v}" for k, v in asdict(bench.context.counters).items()),
    ]
    text = "\n".join(transcript).replace("\r\n", "\n")
    assert re.sub(r"x-request-id: [0-9a-f]{32}", "x-request-id: made", text) == snapshot
