"""Calls of the key-value service that leases ask for, and their outcomes."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Iterator


class Step(enum.Enum):
    """Name every call that keeps, takes or gives leases."""

    READ_OWN = 'read own session'
    OPEN = 'open session'
    RENEW = 'renew session'
    CLOSE = 'close session'
    READ_TABLE = 'read table'
    TAKE = 'take shards'
    GIVE = 'give shards'
    FREE = 'free shards of an ended session'
    READ_PEER = "read a holder's session"
    REVOKE = "revoke a holder's session"


TABLE_WRITES = frozenset({Step.TAKE, Step.GIVE, Step.FREE})


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for one read, or one compare-and-swap if there is a value."""

    step: Step
    key: str
    # Unique in an instance: tells a call from a duplicate of another.
    number: int
    sent_at: Instant
    value: bytes | None = None
    # Version that the key must have, 0 for absent.
    expected: int = 0


class Found(msgspec.Struct, frozen=True):
    """Return what a read found; version 0 if the key is absent."""

    version: int
    value: bytes


class Written(msgspec.Struct, frozen=True):
    """Confirm a compare-and-swap."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """Tell that a compare-and-swap wrote nothing and never will."""


class Unknown(msgspec.Struct, frozen=True):
    """Tell nothing: a write may have taken effect or may do so later."""


Outcome = Found | Written | Conflict | Unknown


class Lane:
    """Allow one call in flight at a time."""

    def __init__(self, numbers: Iterator[int]) -> None:
        self._numbers = numbers
        self._number = 0
        self._is_busy = False
        self.not_before = Instant(0.0)

    def is_free(self, now: Instant) -> bool:
        """Tell whether a call may be sent."""
        return not self._is_busy and now >= self.not_before

    def send(
        self,
        step: Step,
        key: str,
        now: Instant,
        value: bytes | None = None,
        expected: int = 0,
    ) -> Operation:
        """Make the next call."""
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

    def settle(self, operation: Operation) -> bool:
        """Tell whether an outcome is the first of the call in flight."""
        is_current = self._is_busy and operation.number == self._number
        if is_current:
            self._is_busy = False
        return is_current
