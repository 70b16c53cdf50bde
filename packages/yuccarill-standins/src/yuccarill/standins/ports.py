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
# Two that choose at the same time may choose the same port, and the later one
# does not start. A socket that is bound here and never listens keeps a port
# from whoever else chooses, and lets in the process that it is meant for.
_reservations: list[socket.socket] = []


def free(count: int) -> list[int]:
    """Return distinct ports, reserved until this process ends."""
    found: list[int] = []
    while len(found) < count:
        port = _source.randint(FIRST_PORT, LAST_PORT)
        if _reserve(port):
            found.append(port)
    return found


def _reserve(port: int) -> bool:
    reservation = socket.socket()
    try:
        reservation.bind((LOOPBACK, port))
    except OSError:
        reservation.close()
        return False
    # Set after the bind, which must fail beside another's reservation.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reservations.append(reservation)
    return True
