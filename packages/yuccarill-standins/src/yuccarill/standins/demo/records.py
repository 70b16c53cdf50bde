"""Records of the requests of callers and their outcomes."""

from __future__ import annotations

import enum

import msgspec


class Kind(enum.Enum):
    """Kind of a request."""

    REPEATABLE = 'repeatable'
    ONCE = 'non-repeatable'
    STREAM = 'streamed'


class Outcome(enum.Enum):
    """Outcome of a request as its caller sees it."""

    ANSWERED = 'answered'
    NOT_RUN = 'refused as not run'
    UNKNOWN = 'told unknown'
    REFUSED = 'refused'
    WRONG = 'wrong answer'
    LOST = 'lost'

    @property
    def is_failure(self) -> bool:
        return self in (Outcome.WRONG, Outcome.LOST, Outcome.REFUSED)


class Attempt(msgspec.Struct):
    """One attempt to send a request to an instance; times are wall clock."""

    address: str
    begun_at: float
    ended_at: float = 0.0
    status: int = 0
    code: int = 0
    is_not_run: bool = False
    # No connection was made, so nothing was sent.
    is_unreachable: bool = False
    # The connection ended before the complete reply arrived.
    is_cut: bool = False


class Ask(msgspec.Struct):
    """One request with all its attempts."""

    request_id: str
    kind: Kind
    caller: str
    begun_at: float
    outcome: Outcome = Outcome.LOST
    detail: str = ''
    attempts: list[Attempt] = []


class CallerRecords(msgspec.Struct):
    """Requests of all callers."""

    asks: list[Ask] = []

    def of_kind(self, *kinds: Kind) -> list[Ask]:
        return [ask for ask in self.asks if ask.kind in kinds]

    def count(self, outcome: Outcome, *kinds: Kind) -> int:
        """Count requests by outcome; no kinds means all kinds."""
        asks = self.of_kind(*(kinds or tuple(Kind)))
        return sum(ask.outcome is outcome for ask in asks)

    def attempts(self) -> list[Attempt]:
        return [attempt for ask in self.asks for attempt in ask.attempts]
