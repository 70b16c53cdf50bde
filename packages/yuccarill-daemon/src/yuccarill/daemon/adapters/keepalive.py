"""Detect dead TCP connections."""

from __future__ import annotations

import socket

# Seconds of silence before the first probe, seconds between probes, and
# unanswered probes after which a connection is dead.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
# Milliseconds for which sent bytes may stay unacknowledged.
UNACKNOWLEDGED_MS = 3000


def enable_keepalive(connection: socket.socket) -> None:
    """Let the kernel detect a dead connection by keep-alive probes."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
