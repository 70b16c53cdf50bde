"""Choose free ports."""

from __future__ import annotations

import random
import socket

LOOPBACK = '127.0.0.1'
# Below the ports that the kernel gives to outgoing connections: one of those
# could take a chosen port before the process it was chosen for listens, which
# then does not start.
FIRST_PORT = 12_000
LAST_PORT = 32_000

_source = random.SystemRandom()


def free(count: int) -> list[int]:
    """Return distinct ports on which nothing listens."""
    found: set[int] = set()
    while len(found) < count:
        port = _source.randint(FIRST_PORT, LAST_PORT)
        if _is_free(port):
            found.add(port)
    return list(found)


def _is_free(port: int) -> bool:
    try:
        with socket.create_server((LOOPBACK, port)):
            return True
    except OSError:
        return False
