"""Remember non-repeatable requests so that each starts at most once."""

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

    digest: int
    stage: Stage = Stage.RUNNING
    # Dropped before its record where answers take too much memory.
    answer: Answer | None = None


class Limits(msgspec.Struct, frozen=True):
    """Bound what a ledger holds."""

    records: int = 65_536
    answer_bytes: int = 8 * 1024 * 1024
    # Seconds for which records outlive their ticket.
    grace: float = 300.0
    # Seconds from a ticket's issue to its expiry, at most.
    ticket_lifetime: float = 60.0


class _Page(msgspec.Struct):
    expires_at: WallTime
    records_by_id: dict[RequestId, Record] = {}


class Ledger:
    """Decide whether a request may start here."""

    def __init__(self, limits: Limits = Limits()) -> None:
        self._limits = limits
        self._pages_by_ticket: dict[Ticket, _Page] = {}
        self._expiries: list[tuple[WallTime, int, Ticket]] = []
        self._answered: collections.deque[Record] = collections.deque()
        self._answer_bytes = 0
        self._count = 0
        self._issued = 0
        self._closed_through = 0

    def __len__(self) -> int:
        return self._count

    def issue(
        self, home: InstanceId, incarnation: Incarnation, now: WallTime
    ) -> Ticket:
        """Return a new ticket that callers will use."""
        self._issued += 1
        expires_at = math.floor(now + self._limits.ticket_lifetime)
        return Ticket(
            home=home,
            incarnation=incarnation,
            serial=self._issued,
            expires_at=WallTime(expires_at),
        )

    def find(self, ticket: Ticket, request_id: RequestId) -> Record | None:
        """Return the record of an earlier try."""
        page = self._pages_by_ticket.get(ticket)
        return page.records_by_id.get(request_id) if page else None

    def begin(
        self,
        ticket: Ticket,
        request_id: RequestId,
        digest: int,
        now: WallTime,
    ) -> Record | None:
        """Return the record of an earlier try, or none and start one.

        Raises TicketError, TicketExpired, Overloaded.
        """
        self._expire(now)
        record = self.find(ticket, request_id)
        if record is None:
            self._start(ticket, request_id, digest, now)
            return None
        if record.digest != digest:
            # The first request's answer under this number would reach a
            # caller that asked for something else.
            raise errors.TicketError(
                'The ticket has another request under this number; number '
                'each request anew.'
            )
        return record

    def finish(
        self,
        ticket: Ticket,
        request_id: RequestId,
        stage: Stage,
        answer: Answer | None = None,
    ) -> None:
        """Record how a started request ended."""
        page = self._pages_by_ticket[ticket]
        record = page.records_by_id[request_id]
        record.stage = stage
        if answer is not None:
            record.answer = answer
            self._answered.append(record)
            self._answer_bytes += len(answer.body)
            self._drop_answers()

    def _start(
        self,
        ticket: Ticket,
        request_id: RequestId,
        digest: int,
        now: WallTime,
    ) -> None:
        if now >= ticket.expires_at:
            # Its records may be gone, and one of them may have been this
            # request's.
            raise errors.TicketExpired(
                'The ticket has expired and an earlier try may have run; '
                'ask for addresses to get another for new requests.'
            )
        if (
            ticket.serial > self._issued
            or ticket.expires_at > now + self._limits.ticket_lifetime
        ):
            # A made-up expiry would keep records for ever.
            raise errors.TicketError(
                'This instance did not issue the ticket; ask for addresses.'
            )
        if self._count >= self._limits.records:
            # A refusal must stay true for copies of the request still on
            # their way, and there is no room to remember it. No request
            # under the tickets issued so far will start any more.
            self._closed_through = self._issued
        if ticket.serial <= self._closed_through:
            raise errors.Overloaded(
                'Too many requests are remembered here; ask for addresses '
                'to get another ticket.',
                retry_after=FULL_RETRY_SECONDS,
            )
        # Recorded before the first byte is sent: a repeat that arrives
        # while the first try is on its way would run the charge again.
        self._page(ticket).records_by_id[request_id] = Record(digest)
        self._count += 1

    def _page(self, ticket: Ticket) -> _Page:
        page = self._pages_by_ticket.get(ticket)
        if page is None:
            page = _Page(ticket.expires_at)
            self._pages_by_ticket[ticket] = page
            entry = (ticket.expires_at, ticket.serial, ticket)
            heapq.heappush(self._expiries, entry)
        return page

    def _expire(self, now: WallTime) -> None:
        while self._expiries:
            expires_at, _, ticket = self._expiries[0]
            if now < expires_at + self._limits.grace:
                break
            page = self._pages_by_ticket[ticket]
            records = page.records_by_id.values()
            if any(r.stage is Stage.RUNNING for r in records):
                break
            heapq.heappop(self._expiries)
            del self._pages_by_ticket[ticket]
            self._count -= len(records)
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
