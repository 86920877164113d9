"""A request makes each instance that begins to run it go silent, without a reset."""

import asyncio
import collections
import contextlib
import os
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins2.fleet import Vm
from review.standins2.http import Request, Responder, ask
from review.standins2.scene import Scene, run_scene
from review.standins2.servers import Instance

CRASHING_PATH = "/weigh/torn-drum"
REPEAT_S = 2.0
REPEATS = 25
DOWN_S = 4.0
STABILITY_S = 3.0
ALLOWED_CRASHES = 3
ALLOWED_RETRIES = 3
ORDINARY_INTERVAL_S = 0.03
ROUTES = [
    {"prefix": "/stock/", "kind": "idempotent", "service": "stock"},
    {"prefix": "/weigh/", "kind": "non_idempotent", "service": "shed"},
]
IS_RESET = os.environ.get("CRASH") == "reset"
"""For comparison: the connections of an instance that crashes are reset."""


class SilentInstance(Instance):
    """Instance that goes silent when it begins to run the request with the path.

    Its connections stay open without an answer, and new ones are not accepted, as when
    its machine has lost power.
    """

    work_s = 0.4
    is_crashing = True
    crashes: list[float] = []

    def on_begin(self, request: Request) -> bool:
        """Crash and be back some seconds later, under the same id."""
        if not (self.is_crashing and request.target == CRASHING_PATH):
            return True
        self.crashes.append(time.monotonic())
        asyncio.get_running_loop().call_later(
            DOWN_S, lambda: asyncio.ensure_future(self._return())
        )
        if IS_RESET:
            self.crash()
            return False
        self.is_up = False
        assert self._server is not None and self._beat is not None
        self._server.close()
        self._beat.cancel()
        self._blockers = block(self._host, self._port)
        return True

    async def _handle(self, request: Request, responder: Responder) -> None:
        if not self.is_up or request.target == CRASHING_PATH and self.is_crashing:
            await asyncio.sleep(3600.0)
        await super()._handle(request, responder)

    async def _return(self) -> None:
        for blocker in getattr(self, "_blockers", ()):
            blocker.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()
        await self.start()


def block(host: str, port: int) -> list[socket.socket]:
    """Return sockets that keep a port from taking connections; they hang."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(0)
    blockers = [listener]
    for _ in range(3):
        filler = socket.socket()
        filler.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            filler.connect((host, port))
        blockers.append(filler)
    return blockers


def encode(path: str, request_id: str) -> bytes:
    """Return a POST request."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: review.example\r\n"
        f"Galenaferry-Request-Id: {request_id}\r\nContent-Length: 0\r\n"
        "Galenaferry-Request-Deadline-Ms: 4000\r\n\r\n"
    ).encode()


async def send_ordinary(scene: Scene, statuses: collections.Counter[int]) -> None:
    """Send ordinary requests of other kinds until cancelled."""
    number = 0

    async def send(vm: Vm, request_id: str) -> None:
        answer = await ask(vm.front, encode("/weigh/drum", request_id), 5.0)
        statuses[answer.status] += 1

    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            vm = scene.vms[number % len(scene.vms)]
            group.create_task(send(vm, f"{0xB000000 + number:016x}"))
            await asyncio.sleep(ORDINARY_INTERVAL_S)


async def play(scene: Scene) -> bool:
    """Return whether the request reached instances in three late retries at most."""
    SilentInstance.is_crashing = scene.has_trouble
    await scene.start(ROUTES, {"stock": 4, "shed": 12}, 4, SilentInstance)
    await asyncio.sleep(2.0)
    statuses: collections.Counter[int] = collections.Counter()
    ordinary = asyncio.create_task(send_ordinary(scene, statuses))
    sent_at_by_id: dict[str, float] = {}

    async def send(number: int) -> None:
        vm = scene.vms[number % len(scene.vms)]
        request_id = f"{0xC0DE000 + number:016x}"
        sent_at_by_id[request_id] = time.monotonic()
        scene.record.add(f"{request_id} sent to {vm.name}")
        answer = await ask(vm.front, encode(CRASHING_PATH, request_id), 5.0)
        reason = answer.headers.get("galenaferry-reason", "")
        scene.record.add(f"{request_id} answered {answer.status} {reason}")

    async with asyncio.TaskGroup() as group:
        for number in range(REPEATS):
            group.create_task(send(number))
            await asyncio.sleep(REPEAT_S)
    ordinary.cancel()
    await asyncio.gather(ordinary, return_exceptions=True)
    scene.record.add(f"answers to ordinary requests: {dict(statuses)}")
    crashes = sorted(SilentInstance.crashes)
    scene.record.add(f"{len(crashes)} crashes of instances")
    if len(crashes) < ALLOWED_CRASHES:
        return True
    bound = crashes[ALLOWED_CRASHES - 1] + STABILITY_S
    late = {
        request_id
        for instance in scene.instances
        for _, request_id, request in instance.arrivals
        if request.target == CRASHING_PATH and sent_at_by_id[request_id] > bound
    }
    scene.record.add(
        f"{len(late)} retries sent {STABILITY_S} s after the third crash or later "
        f"reached instances: {sorted(late)}"
    )
    return len(late) <= ALLOWED_RETRIES


run_scene(__file__, play)
