"""Reserve free ports."""

from __future__ import annotations

import random
import socket

LOOPBACK = '127.0.0.1'
# Below the kernel's ephemeral ports: an outgoing connection could otherwise
# take a reserved port before the process meant for it listens.
FIRST_PORT = 12_000
LAST_PORT = 32_000

_random = random.SystemRandom()
# Sockets that are bound but never listen, so that concurrent processes can't
# reserve the same port. SO_REUSEADDR lets the intended process listen on it.
_reservations: list[socket.socket] = []


def reserve(count: int) -> list[int]:
    """Return distinct ports, reserved until this process ends."""
    reserved: list[int] = []
    while len(reserved) < count:
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if _reserve(port):
            reserved.append(port)
    return reserved


def _reserve(port: int) -> bool:
    reservation = socket.socket()
    try:
        reservation.bind((LOOPBACK, port))
    except OSError:
        reservation.close()
        return False
    # Set after the bind, which must fail if another process has the port.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reservations.append(reservation)
    return True
