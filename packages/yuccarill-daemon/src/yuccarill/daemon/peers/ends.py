"""Causes for the end of a stream between instances."""

from __future__ import annotations

import enum


class StreamEnd(enum.Enum):
    """The cause of the end of a stream."""

    LOST = 'lost'
    SILENT = 'silent'
    IDLE = 'idle'
    INVALID_FRAME = 'invalid frame'
    NO_HELLO = 'no hello'
    WRONG_ADDRESSEE = 'wrong addressee'
    TOO_MANY = 'too many'
    CONGESTED = 'congested'
