"""Records of callers: what they asked and what became of it."""

from __future__ import annotations

import enum

import msgspec


class Kind(enum.Enum):
    """Say what a caller asks for."""

    REPEATABLE = 'repeatable'
    ONCE = 'non-repeatable'
    STREAM = 'streamed'


class Outcome(enum.Enum):
    """Say what a caller knows of a request in the end."""

    ANSWERED = 'answered'
    NOT_RUN = 'refused as not run'
    UNKNOWN = 'told unknown'
    REFUSED = 'refused'
    WRONG = 'wrong answer'
    LOST = 'lost'

    @property
    def is_trouble(self) -> bool:
        return self in (Outcome.WRONG, Outcome.LOST, Outcome.REFUSED)


class Attempt(msgspec.Struct):
    """Record one try of a request at one instance, in wall clock time."""

    address: str
    begun_at: float
    ended_at: float = 0.0
    status: int = 0
    code: int = 0
    is_not_run: bool = False
    # No connection was made.
    is_unreachable: bool = False
    # The connection ended before the whole reply had come.
    is_cut: bool = False


class Ask(msgspec.Struct):
    """Record one request with all its tries."""

    request_id: str
    kind: Kind
    caller: str
    begun_at: float
    outcome: Outcome = Outcome.LOST
    detail: str = ''
    attempts: list[Attempt] = []


class CallerRecords(msgspec.Struct):
    """Hold what all callers asked."""

    asks: list[Ask] = []

    def of_kind(self, *kinds: Kind) -> list[Ask]:
        """Return the requests of some kinds."""
        return [ask for ask in self.asks if ask.kind in kinds]

    def count(self, outcome: Outcome, *kinds: Kind) -> int:
        """Count the requests of some kinds that ended in one way."""
        asks = self.of_kind(*(kinds or tuple(Kind)))
        return sum(ask.outcome is outcome for ask in asks)

    def attempts(self) -> list[Attempt]:
        """Return all tries."""
        return [attempt for ask in self.asks for attempt in ask.attempts]
