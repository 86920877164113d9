"""Proxy in front of an instance that drops the bytes of some VMs' connections."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path


def owner_of(client: tuple[str, int], server: tuple[str, int], pids: set[int]) -> int:
    """Return which of the processes has the client's end of a connection, 0 if none."""

    def text(address: tuple[str, int]) -> str:
        digits = "".join(f"{int(part):02X}" for part in reversed(address[0].split(".")))
        return f"{digits}:{address[1]:04X}"

    ends = [text(client), text(server)]
    inode = ""
    for line in Path("/proc/net/tcp").read_text().splitlines():
        fields = line.split()
        if fields[1:3] == ends:
            inode = f"socket:[{fields[9]}]"
    for pid in pids:
        try:
            for name in os.listdir(f"/proc/{pid}/fd"):
                if os.readlink(f"/proc/{pid}/fd/{name}") == inode:
                    return pid
        except OSError:
            continue
    return 0


class Proxy:
    """Forwards connections; those of VMs that are cut off hang, old ones and new ones.

    ``cut_pids`` returns the processes of the VMs that are cut off now.
    """

    def __init__(
        self,
        target: tuple[str, int],
        vm_pids: Callable[[], set[int]],
        cut_pids: Callable[[], set[int]],
    ) -> None:
        self._target, self._vm_pids, self._cut_pids = target, vm_pids, cut_pids
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None] | None] = set()

    async def start(self, address: tuple[str, int]) -> None:
        self._server = await asyncio.start_server(self._serve, *address)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The loop keeps only weak references to tasks.
        self._tasks.add(asyncio.current_task())
        client, server = (writer.get_extra_info(n) for n in ("peername", "sockname"))
        owner = owner_of(client, server, self._vm_pids())
        try:
            there_reader, there_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(owner, reader, there_writer),
            self._forward(owner, there_reader, writer),
        )

    async def _forward(
        self, owner: int, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        was_cut = False
        try:
            while data := await source.read(65536):
                was_cut = was_cut or owner in self._cut_pids()
                if not was_cut:
                    sink.write(data)
                    await sink.drain()
        except OSError:
            pass
        if not was_cut:
            sink.close()
