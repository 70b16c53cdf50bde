"""Calls to the key-value store for leases, and their outcomes."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Iterator


class Step(enum.Enum):
    """Purpose of a store call."""

    READ_OWN = 'read own session'
    OPEN = 'open session'
    RENEW = 'renew session'
    CLOSE = 'close session'
    READ_TABLE = 'read table'
    CLAIM = 'take shards'
    TRANSFER = 'give shards'
    RELEASE = 'free shards of an ended session'
    READ_PEER = "read a holder's session"
    REVOKE = "revoke a holder's session"


TABLE_WRITES = frozenset({Step.CLAIM, Step.TRANSFER, Step.RELEASE})


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """One read, or one compare-and-swap if a value is set."""

    step: Step
    key: str
    # Unique in an instance; matches a reply to its call.
    number: int
    sent_at: Instant
    value: bytes | None = None
    # Version that the key must have; 0 if it must be absent.
    expected: int = 0


class Found(msgspec.Struct, frozen=True):
    """Result of a read; the version is 0 if the key is absent."""

    version: int
    value: bytes


class Written(msgspec.Struct, frozen=True):
    """A compare-and-swap took effect."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """A compare-and-swap wrote nothing and never will."""


class Unknown(msgspec.Struct, frozen=True):
    """No outcome: a write may have taken effect or may still do so."""


Outcome = Found | Written | Conflict | Unknown


class CallSlot:
    """Limit a sequence of calls to one in flight."""

    def __init__(self, numbers: Iterator[int]) -> None:
        self._numbers = numbers
        self._number = 0
        self._is_busy = False
        self.not_before = Instant(0.0)

    def is_free(self, now: Instant) -> bool:
        """Return whether a call may be sent."""
        return not self._is_busy and now >= self.not_before

    def send(
        self,
        step: Step,
        key: str,
        now: Instant,
        value: bytes | None = None,
        expected: int = 0,
    ) -> Operation:
        """Return the next call and mark it as in flight."""
        self._number = next(self._numbers)
        self._is_busy = True
        return Operation(
            step=step,
            key=key,
            number=self._number,
            sent_at=now,
            value=value,
            expected=expected,
        )

    def release(self, operation: Operation) -> bool:
        """Free the slot if it is held by the operation; return if it was."""
        is_current = self._is_busy and operation.number == self._number
        if is_current:
            self._is_busy = False
        return is_current
