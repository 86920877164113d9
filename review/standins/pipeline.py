"""Stand-in of clients that send several idempotent requests ahead and read slowly.

Run as a process of its own: pipeline.py IP PORT CLIENTS AHEAD BYTES BYTES_PER_S SECONDS
"""

import asyncio
import itertools
import socket
import sys

RECEIVE_BYTES = 65536
DEADLINE_MS = 20000
PIECE = 16384
_numbers = itertools.count(1)


def request(prefix: str, size: int) -> bytes:
    return (
        f"GET /pull/{size}/season HTTP/1.1\r\nHost: sn.example\r\n"
        f"Galenaferry-Request-Id: {prefix}-{next(_numbers):06d}\r\n"
        f"Galenaferry-Request-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    ).encode()


async def client(
    prefix: str, address: tuple[str, int], ahead: int, size: int, rate: int
) -> None:
    """Connect, send all requests at once, read the answers; again after an end."""
    loop = asyncio.get_running_loop()
    while True:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(1.0):
                await loop.sock_connect(sock, address)
            data = b"".join(request(prefix, size) for _ in range(ahead))
            await loop.sock_sendall(sock, data)
            while await loop.sock_recv(sock, PIECE if rate else 1 << 18):
                if rate:
                    await asyncio.sleep(PIECE / rate)
        except (OSError, TimeoutError):
            pass
        finally:
            sock.close()
        await asyncio.sleep(0.3)


async def main() -> None:
    ip, port, clients, ahead, size, rate, seconds = sys.argv[1:]
    tasks = [
        asyncio.create_task(
            client(f"p{n}-{ip}", (ip, int(port)), int(ahead), int(size), int(rate))
        )
        for n in range(int(clients))
    ]
    try:
        async with asyncio.timeout(float(seconds)):
            await asyncio.gather(*tasks)
    except TimeoutError:
        return


if __name__ == "__main__":
    asyncio.run(main())
