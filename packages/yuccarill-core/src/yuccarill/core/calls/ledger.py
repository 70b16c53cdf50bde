"""Remember non-repeatable requests so that each starts at most once."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import RequestId


class Stage(enum.Enum):
    """Say how far a remembered request got."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'


class Answer(msgspec.Struct, frozen=True):
    """Hold a whole answer of a target."""

    status: int
    content_type: str
    body: bytes


class Record(msgspec.Struct):
    """Hold what is known of one request."""

    stage: Stage
    answer: Answer | None = None


class Ledger:
    """Decide whether a request may start here."""

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, RequestId], Record] = {}

    def begin(self, ticket: str, request_id: RequestId) -> Record | None:
        """Return the record of an earlier try, or none and start one."""
        key = (ticket, request_id)
        record = self._by_key.get(key)
        if record is not None and record.stage is not Stage.NOT_RUN:
            return record
        # Recorded before the first byte is sent: a repeat that arrives
        # while the first try is on its way would run the charge again.
        self._by_key[key] = Record(Stage.RUNNING)
        return None

    def finish(
        self,
        ticket: str,
        request_id: RequestId,
        stage: Stage,
        answer: Answer | None = None,
    ) -> None:
        """Record how a started request ended."""
        record = self._by_key[(ticket, request_id)]
        record.stage = stage
        record.answer = answer
