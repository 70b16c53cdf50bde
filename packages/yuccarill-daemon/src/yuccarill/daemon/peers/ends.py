"""Why streams between instances ended."""

from __future__ import annotations

import enum


class StreamEnd(enum.Enum):
    """Name a cause that is counted."""

    LOST = 'lost'
    SILENT = 'silent'
    IDLE = 'idle'
    INVALID_FRAME = 'invalid frame'
    NO_HELLO = 'no hello'
    WRONG_ADDRESSEE = 'wrong addressee'
    TOO_MANY = 'too many'
    CONGESTED = 'congested'
