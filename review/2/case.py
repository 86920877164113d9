"""Another writer leaves an unreadable entry; later all processes are killed once."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.client import Client, new_id, status_of  # noqa: E402
from standins.fleet import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Fleet,
    end_on_signals,
    finish,
)
from standins.vm import configuration, route, until_ready  # noqa: E402

RECOVERY_S = 15.0
DOWN_S = 1.0
ROUTES = [
    route("depth", "idempotent", "nieve", timeoutMs=4000),
    route("book", "non_idempotent", "cumbre"),
]
UNREADABLE = b"[" * 2000
"""2,000 bytes; a row may hold 65,536."""


async def serve_for(fleet: Fleet, seconds: float, name: str) -> float:
    """Send 20 requests a second through all VMs; return the share that is served."""
    clients = [Client(vm.front, fleet.record) for vm in fleet.vms for _ in range(20)]
    loop = asyncio.get_running_loop()
    tasks = []
    end, number = loop.time() + seconds, 0
    while loop.time() < end:
        client = clients[number % len(clients)]
        method, target = ("POST", "/book/500/x") if number % 3 else ("GET", "/depth/5000/x")
        tasks.append(asyncio.create_task(client.ask(method, target, new_id("q"), 8.0)))
        number += 1
        await asyncio.sleep(0.05)
    statuses = [status_of(answer) for answer in await asyncio.gather(*tasks)]
    share = sum(status == 200 for status in statuses) / len(statuses)
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    fleet.record.write("share served", name, f"{share:.3f}", counts)
    print(f"{name}: {len(statuses)} requests, by status {counts}, share {share:.3f}")
    for client in clients:
        client.close()
    return share


async def play(fleet: Fleet) -> tuple[int, str]:
    if not await fleet.start(ROUTES, {"nieve": (4, 0.1), "cumbre": (6, 0.1)}, 3):
        return COULD_NOT_RUN, "the VMs did not get ready"
    if fleet.has_trouble:
        fleet.record.write("another writer writes servers/other-writer")
        await fleet.store.put("servers", "other-writer", UNREADABLE)
    before = await serve_for(fleet, 6.0, "before the final fault")
    await fleet.store.put_json("op", "config", configuration(9, ROUTES))
    for vm in fleet.vms:
        vm.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for vm in fleet.vms:
        vm.start(bootstrap=False)
    loop = asyncio.get_running_loop()
    if not await until_ready(fleet.vms):
        fleet.record.write("not all VMs say that they are ready")
    back_at = loop.time()
    await serve_for(fleet, 3.0, "right after")
    await asyncio.sleep(max(0.0, back_at + RECOVERY_S - loop.time()))
    after = await serve_for(fleet, 8.0, "later than recoveryS")
    if before < 0.25:
        return COULD_NOT_RUN, f"only {before:.3f} was served before the fault"
    if after < 0.25:
        return BROKEN, f"RECOVER: {before:.3f} served before, {after:.3f} after recoveryS"
    return HELD, f"{before:.3f} served before, {after:.3f} after recoveryS"


async def main() -> None:
    fleet = Fleet(HERE / "record.txt")
    end_on_signals(fleet)
    try:
        async with asyncio.timeout(100):
            code, text = await play(fleet)
    except TimeoutError:
        code, text = COULD_NOT_RUN, "the time of the script is over"
    finally:
        fleet.end()
    finish(code, text)


asyncio.run(main())
