"""Bound what a process holds for others."""

from __future__ import annotations

import enum

import msgspec


class MemoryBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Set how many bytes may be held, from the machine's memory."""

    request: int
    connection: int
    account: int
    process: int


class Holding(enum.Enum):
    """Say what bytes are held for."""

    # A body that a client still sends, or that no target has taken.
    REQUEST_BODY = 'request body'
    # An answer that its client has not read.
    ANSWER = 'answer'


class Pressure(enum.Enum):
    """Say what is to be done for bytes that come."""

    NONE = 'none'
    # Read no more from whoever sends them.
    PAUSE = 'pause'
    # Give up what holds them.
    DROP = 'drop'
