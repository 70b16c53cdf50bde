"""Find connections whose other end went silent."""

from __future__ import annotations

import socket

# Seconds of silence after which the kernel probes a connection, between
# probes, and probes without a reply after which the connection is dead. A
# connection forgotten by something between its ends is found in 3 s.
PROBE_IDLE = 1
PROBE_INTERVAL = 1
PROBE_COUNT = 2
# Milliseconds that sent bytes may stay without an acknowledgement.
UNACKNOWLEDGED_MS = 3000


def watch_for_silence(handle: socket.socket) -> None:
    """Let the kernel find a connection that went silent."""
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_IDLE),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
