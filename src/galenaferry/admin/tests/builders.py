"""Administration interface on a fake platform, called without sockets."""

import json
from random import Random
from urllib.parse import parse_qsl, urlsplit

from result import Err, Ok

from galenaferry.admin.interface import AdminInterface, AdminSources
from galenaferry.claims.tests.builders import ClaimBench
from galenaferry.configuration.acceptance import CHANGE_PREFIX
from galenaferry.configuration.component import ConfigurationComponent
from galenaferry.network.json_server import JsonRequest
from galenaferry.store.messages import PlatformError, Row

TOKEN = "secret"
MEMBERS = [
    {
        "vm": "10.0.0.1:7000",
        "zone": "north",
        "version": 2,
        "live": True,
        "leaving": False,
    },
    {
        "vm": "10.0.0.2:7000",
        "zone": "south",
        "version": 1,
        "live": True,
        "leaving": False,
    },
]


class AdminBench(ClaimBench):
    """Administration interface of one VM on a fake clock."""

    def __init__(self, token=TOKEN):
        super().__init__(vms=0)
        self.platform.scan = self.scan
        self.platform.get_object = lambda name, done: self.platform._answer(
            done, Ok(None)
        )
        self.is_drained = False
        self.configuration = ConfigurationComponent(
            self.loop,
            self.platform,
            lambda count: [],
            lambda address, message: None,
            Random(1),
        )
        sources = AdminSources(
            is_ready=lambda: (
                not self.is_drained,
                "stopping" if self.is_drained else "ready",
            ),
            dump=lambda: {"configuration": self.configuration.dump()},
            metrics=dict,
            fleet=lambda: {"version": 2, "members": MEMBERS},
            drain=self.drain,
            configuration=self.configuration,
        )
        self.interface = AdminInterface(token, sources)

    def drain(self):
        self.is_drained = True

    def scan(self, prefix, after, limit, done):
        if self.platform.is_down:
            self.platform._answer(done, Err(PlatformError("down", True)))
            return
        keys = sorted(
            k for k in self.platform.rows if k.startswith(CHANGE_PREFIX) and k > after
        )
        self.platform._answer(
            done, Ok([Row(k, *self.platform.rows[k]) for k in keys[:limit]])
        )

    def send_request(self, method, target, body=None, token=TOKEN):
        """Send a request, run the loop for 100 ms and return the response."""
        parts = urlsplit(target)
        raw = json.dumps(body).encode() if body is not None else b""
        headers = {"authorization": f"Bearer {token}"} if token else {}
        response = self.interface.respond(
            JsonRequest(
                method, parts.path, dict(parse_qsl(parts.query)), headers, body, raw
            )
        )
        self.run(100.0)
        return response
