"""Record non-repeatable requests so that each starts at most once."""

from __future__ import annotations

import collections
import enum
import heapq
import math

import msgspec

from yuccarill.core.calls.ticket import Ticket
from yuccarill.core import errors
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import WallTime

FULL_RETRY_SECONDS = 5.0


class RecordState(enum.Enum):
    """List the states of a recorded request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'


class Answer(msgspec.Struct, frozen=True):
    """Store a complete answer of a target."""

    status: int
    content_type: str
    body: bytes


class Record(msgspec.Struct):
    """Store the state of one request."""

    digest: int
    stage: RecordState = RecordState.RUNNING
    # Removed from a stored record if answers exceed their memory limit.
    answer: Answer | None = None


class Limits(msgspec.Struct, frozen=True):
    """Limit what a ledger stores."""

    records: int = 65_536
    answer_bytes: int = 8 * 1024 * 1024
    # Seconds for which records are kept after their ticket expires.
    grace: float = 300.0
    # Maximum seconds from a ticket's issue to its expiry.
    ticket_lifetime: float = 60.0


class _TicketEntry(msgspec.Struct):
    expires_at: WallTime
    records_by_id: dict[RequestId, Record] = {}


class Ledger:
    """Decide whether a non-repeatable request may start here."""

    def __init__(self, limits: Limits = Limits()) -> None:
        self._limits = limits
        self._entries_by_ticket: dict[Ticket, _TicketEntry] = {}
        self._expiries: list[tuple[WallTime, int, Ticket]] = []
        self._answered: collections.deque[Record] = collections.deque()
        self._answer_bytes = 0
        self._record_count = 0
        self._last_serial = 0
        self._last_closed_serial = 0

    def __len__(self) -> int:
        return self._record_count

    def issue(
        self, home: InstanceId, incarnation: Incarnation, now: WallTime
    ) -> Ticket:
        """Return a new ticket for callers' requests."""
        self._last_serial += 1
        expires_at = math.floor(now + self._limits.ticket_lifetime)
        return Ticket(
            home=home,
            incarnation=incarnation,
            serial=self._last_serial,
            expires_at=WallTime(expires_at),
        )

    def find(self, ticket: Ticket, request_id: RequestId) -> Record | None:
        """Return the record of an earlier submission, or None."""
        entry = self._entries_by_ticket.get(ticket)
        return entry.records_by_id.get(request_id) if entry else None

    def begin(
        self,
        ticket: Ticket,
        request_id: RequestId,
        digest: int,
        now: WallTime,
    ) -> Record | None:
        """Return the record of an earlier submission, or start one.

        Raises TicketError, TicketExpired, Overloaded.
        """
        self._expire(now)
        record = self.find(ticket, request_id)
        if record is None:
            self._start_record(ticket, request_id, digest, now)
            return None
        if record.digest != digest:
            # The caller would get the answer of a different request.
            raise errors.TicketError(
                'The ticket already has another request with this ID; use '
                'a new ID for each request.'
            )
        return record

    def finish(
        self,
        ticket: Ticket,
        request_id: RequestId,
        stage: RecordState,
        answer: Answer | None = None,
    ) -> None:
        """Record how a started request ended."""
        entry = self._entries_by_ticket[ticket]
        record = entry.records_by_id[request_id]
        record.stage = stage
        if answer is not None:
            record.answer = answer
            self._answered.append(record)
            self._answer_bytes += len(answer.body)
            self._drop_answers()

    def _start_record(
        self,
        ticket: Ticket,
        request_id: RequestId,
        digest: int,
        now: WallTime,
    ) -> None:
        if now >= ticket.expires_at:
            # The record of an earlier submission may have been dropped.
            raise errors.TicketExpired(
                'The ticket has expired and an earlier attempt may have run; '
                'request addresses to get another for new requests.'
            )
        if (
            ticket.serial > self._last_serial
            or ticket.expires_at > now + self._limits.ticket_lifetime
        ):
            # A forged expiry would keep records indefinitely.
            raise errors.TicketError(
                'This instance did not issue the ticket; request addresses to '
                'get another.'
            )
        if self._record_count >= self._limits.records:
            # A delayed copy of a refused request must not start later, and
            # a full ledger cannot record the refusal, so no new request
            # starts under the tickets issued so far.
            self._last_closed_serial = self._last_serial
        if ticket.serial <= self._last_closed_serial:
            raise errors.Overloaded(
                'This instance has too many recorded requests; request '
                'addresses to get another ticket.',
                retry_after=FULL_RETRY_SECONDS,
            )
        # Recorded before the first byte is sent: otherwise a repeat that
        # arrives during the first submission would run the request again.
        self._get_entry(ticket).records_by_id[request_id] = Record(digest)
        self._record_count += 1

    def _get_entry(self, ticket: Ticket) -> _TicketEntry:
        entry = self._entries_by_ticket.get(ticket)
        if entry is None:
            entry = _TicketEntry(ticket.expires_at)
            self._entries_by_ticket[ticket] = entry
            expiry = (ticket.expires_at, ticket.serial, ticket)
            heapq.heappush(self._expiries, expiry)
        return entry

    def _expire(self, now: WallTime) -> None:
        while self._expiries:
            expires_at, _, ticket = self._expiries[0]
            if now < expires_at + self._limits.grace:
                break
            entry = self._entries_by_ticket[ticket]
            records = entry.records_by_id.values()
            if any(r.stage is RecordState.RUNNING for r in records):
                break
            heapq.heappop(self._expiries)
            del self._entries_by_ticket[ticket]
            self._record_count -= len(records)
            for record in records:
                self._drop_answer(record)
        while self._answered and self._answered[0].answer is None:
            self._answered.popleft()

    def _drop_answers(self) -> None:
        while self._answer_bytes > self._limits.answer_bytes:
            self._drop_answer(self._answered.popleft())

    def _drop_answer(self, record: Record) -> None:
        if record.answer is not None:
            self._answer_bytes -= len(record.answer.body)
            record.answer = None
