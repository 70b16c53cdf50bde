"""What a decision asks of the platform's key-value service.

Decisions that need the service are generators: they yield one action, are
sent its outcome and return their result. That way the same code runs on
sockets, on a fake with faults, and interleaved with another's steps.
"""

from __future__ import annotations

from collections.abc import Generator
import enum
from typing import TypeVar

import msgspec


class Step(enum.Enum):
    """Name each point at which a decision waits for the service."""

    READ_HEAD = 'read head'
    READ_DOCUMENT = 'read document'
    LOOK_UP_CHANGE = 'look up change'
    WRITE_AUDIT_PAGE = 'write audit page'
    READ_SLOT = 'read slot'
    WRITE_DOCUMENT = 'write document'
    SWAP_HEAD = 'swap head'
    READ_BACK = 'read back'
    FENCE = 'fence'


class Read(msgspec.Struct, frozen=True):
    """Read a key."""

    step: Step
    key: str


class Swap(msgspec.Struct, frozen=True):
    """Write a key whose version is the expected one, 0 for absent."""

    step: Step
    key: str
    value: bytes
    expected: int


class Wait(msgspec.Struct, frozen=True):
    """Let some time pass before the next try."""

    seconds: float


class Found(msgspec.Struct, frozen=True):
    """Return a key's version, 0 for absent, and its value."""

    version: int
    value: bytes


class Swapped(msgspec.Struct, frozen=True):
    """Confirm a write."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """Say that the key's version was not the expected one."""


class NoReply(msgspec.Struct, frozen=True):
    """Say that nothing was heard; a write may still take effect."""


Action = Read | Swap | Wait
Outcome = Found | Swapped | Conflict | NoReply | None

Result = TypeVar('Result')
Decision = Generator[Action, Outcome, Result]
