"""Run non-repeatable calls at most once, on their ticket's issuer."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
import xxhash

from yuccarill.core.calls import ledger as ledger_module
from yuccarill.core.calls.ledger import Answer
from yuccarill.core.calls.ledger import Ledger
from yuccarill.core.calls.ledger import Record
from yuccarill.core.calls.ledger import RecordState
from yuccarill.core.calls import ticket as ticket_module
from yuccarill.core.calls.ticket import Ticket
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import WallTime
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Incarnation
    from yuccarill.daemon.controllers.attempts import AttemptController
    from yuccarill.daemon.controllers.attempts import Call

log = logs.for_part('calls')

REPEAT_SECONDS = 1.0
UNSEEN = 'unseen'

_Key = tuple[Ticket, RequestId]


class Outcome(msgspec.Struct, frozen=True):
    """Describe the outcome of a request."""

    outcome: str
    answer: Answer | None = None


class AtMostOnceController:
    """Run each request at most once and share its answer among retries."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        attempts: AttemptController,
        now: Callable[[], Instant],
        wall_now: Callable[[], float],
        clock: Any,
        limits: ledger_module.Limits,
    ) -> None:
        self._blackboard = blackboard
        self._incarnation = incarnation
        self._attempts = attempts
        self._now = now
        # Setting the wall clock back would revive a ticket whose records were
        # deleted, so wall time is derived from the monotonic clock.
        self._wall_offset = wall_now() - now()
        self._clock = clock
        self._ledger = Ledger(limits)
        self._waiters_by_key: dict[_Key, list[defer.Deferred[Answer]]] = (
            collections.defaultdict(list)
        )
        self.active = 0

    def new_ticket(self) -> Ticket:
        """Issue a ticket of this incarnation."""
        return self._ledger.issue(
            self._blackboard.own_instance.id, self._incarnation, self._wall()
        )

    async def run(self, call: Call) -> Answer:
        """Return the answer to a call whose ticket was issued here.

        Raises the error that the call ended with, TicketError, or
        OutcomeUnknown if no answer arrives by the deadline.
        """
        ticket = self._parse_own_ticket(call.ticket)
        key = (ticket, call.request_id)
        record = self._ledger.begin(*key, _digest(call), self._wall())
        if record is None:
            # The run is tied to no connection: the caller that started it may
            # disconnect while another one waits for the answer.
            defer.ensureDeferred(self._execute(call, key))
            record = self._ledger.find(*key)
        assert record is not None
        if record.stage is RecordState.RUNNING:
            return await self._wait(key, call.deadline)
        return _final_answer(record)

    def outcome(self, ticket_text: str, request_id: RequestId) -> Outcome:
        """Return the outcome of a request whose ticket was issued here.

        Raises TicketError, TicketExpired, OutcomeUnknown.
        """
        ticket = self._parse_own_ticket(ticket_text)
        record = self._ledger.find(ticket, request_id)
        if record is not None:
            return Outcome(record.stage.value, record.answer)
        if self._wall() >= ticket.expires_at:
            raise errors.TicketExpired(
                'The ticket has expired; its outcomes were deleted.'
            )
        # An attempt in transit may still start the request, so this outcome is
        # not final; a retry with the same ticket is safe.
        return Outcome(UNSEEN)

    def _parse_own_ticket(self, text: str | None) -> Ticket:
        ticket = ticket_module.parse(text or '')
        if ticket.incarnation != self._incarnation:
            # The earlier process lost the records of this ticket; one of its
            # requests may have run, and a second run could charge twice.
            raise errors.OutcomeUnknown(
                'The instance that issued the ticket has restarted; an '
                'earlier attempt may have run.'
            )
        return ticket

    async def _execute(self, call: Call, key: _Key) -> None:
        stage, answer = RecordState.UNKNOWN, None
        error = errors.YuccarillError('Internal error; the call may have run.')
        self.active += 1
        try:
            answer = await self._attempts.run(call, is_repeatable=False)
            stage = RecordState.ANSWERED
        except errors.YuccarillError as failure:
            error = failure
            stage = (
                RecordState.NOT_RUN if failure.not_run else RecordState.UNKNOWN
            )
        except Exception as failure:
            log.error('Call failed unexpectedly.', cause=repr(failure))
        finally:
            self.active -= 1
        self._ledger.finish(*key, stage, answer)
        for waiter in self._waiters_by_key.pop(key, []):
            if answer is not None:
                waiter.callback(answer)
            else:
                waiter.errback(error)

    def _wait(self, key: _Key, deadline: Instant) -> defer.Deferred[Answer]:
        waiter: defer.Deferred[Answer] = defer.Deferred(
            lambda cancelled: self._drop_waiter(key, cancelled)
        )
        self._waiters_by_key[key].append(waiter)
        left = max(0.0, deadline - self._now())
        return waiter.addTimeout(left, self._clock, _raise_still_running)

    def _drop_waiter(self, key: _Key, waiter: defer.Deferred[Answer]) -> None:
        self._waiters_by_key[key].remove(waiter)

    def _wall(self) -> WallTime:
        return WallTime(self._now() + self._wall_offset)


def _final_answer(record: Record) -> Answer:
    if record.answer is not None:
        return record.answer
    match record.stage:
        case RecordState.ANSWERED:
            raise errors.OutcomeUnknown(
                'The call ran and was answered; the answer is not stored.'
            )
        case RecordState.NOT_RUN:
            raise errors.NotRun(
                'The call was refused and has not run; retry with a new ID.'
            )
        case _:
            raise errors.OutcomeUnknown('An earlier attempt may have run.')


def _raise_still_running(result: object, seconds: float) -> None:
    raise errors.OutcomeUnknown(
        'The call is still running; query its outcome later.',
        retry_after=REPEAT_SECONDS,
    )


def _digest(call: Call) -> int:
    parts = (call.service, call.path, call.query, call.content_type)
    head = '\n'.join(parts).encode()
    return xxhash.xxh3_64_intdigest(head + b'\n' + call.body)
