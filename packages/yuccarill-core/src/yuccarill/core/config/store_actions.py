"""Actions on the platform's key-value service and their outcomes.

Code that needs the service is a generator without I/O: it yields actions, is
sent their outcomes and returns its result. The caller performs the actions, on
the network or on a fake store with injected faults.
"""

from __future__ import annotations

from collections.abc import Generator
import enum
from typing import TypeVar

import msgspec


class StoreStep(enum.Enum):
    """Name of each action, for logs and fault injection."""

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
    """Read the value and version of a key."""

    step: StoreStep
    key: str


class Swap(msgspec.Struct, frozen=True):
    """Write a key if its version is the expected one, 0 for absent."""

    step: StoreStep
    key: str
    value: bytes
    expected: int


class Wait(msgspec.Struct, frozen=True):
    """Wait before a retry."""

    seconds: float


class Found(msgspec.Struct, frozen=True):
    """Outcome of a read; the version of an absent key is 0."""

    version: int
    value: bytes


class Swapped(msgspec.Struct, frozen=True):
    """Outcome of a successful write: the new version."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """Outcome of a swap whose expected version did not match."""


class NoReply(msgspec.Struct, frozen=True):
    """Outcome of an action without reply; a write may still take effect."""


Action = Read | Swap | Wait
Outcome = Found | Swapped | Conflict | NoReply | None

Result = TypeVar('Result')
StoreProcedure = Generator[Action, Outcome, Result]
