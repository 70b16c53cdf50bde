"""Test the ledger of non-repeatable requests."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies

from yuccarill.core.calls import ledger
from yuccarill.core.calls.ticket import Ticket
from yuccarill.core import errors
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import WallTime

REQUEST = RequestId('r')
DIGEST = 1
START = WallTime(1000.0)
ANSWER = ledger.Answer(200, 'text/plain', b'paid')
LIMITS = ledger.Limits(
    records=3, answer_bytes=8, grace=20.0, ticket_lifetime=10.0
)


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ledger.Ledger(LIMITS)
        self.ticket = self.issue(START)

    def issue(self, now: WallTime) -> Ticket:
        return self.ledger.issue(InstanceId('a'), Incarnation('1'), now)

    def begin(
        self, name: str = REQUEST, now: float = START, digest: int = DIGEST
    ) -> ledger.Record | None:
        return self.ledger.begin(
            self.ticket, RequestId(name), digest, WallTime(now)
        )

    def finish(
        self, stage: ledger.RecordState, answer: ledger.Answer | None = None
    ) -> None:
        self.ledger.finish(self.ticket, REQUEST, stage, answer)

    def test_repeat_while_running_does_not_start(self) -> None:
        # Guard against a request that runs twice as its repeat arrives
        # during the first run.
        self.assertIsNone(self.begin())
        record = self.begin()
        assert record is not None
        self.assertIs(ledger.RecordState.RUNNING, record.stage)

    def test_repeat_gets_the_first_answer(self) -> None:
        self.begin()
        self.finish(ledger.RecordState.ANSWERED, ANSWER)
        record = self.begin()
        assert record is not None
        self.assertEqual(ANSWER, record.answer)

    def test_not_run_is_final(self) -> None:
        # Guard against a delayed copy that starts after the caller was
        # answered that the request has not run.
        self.begin()
        self.finish(ledger.RecordState.NOT_RUN)
        record = self.begin()
        assert record is not None
        self.assertIs(ledger.RecordState.NOT_RUN, record.stage)

    def test_refuses_another_request_under_the_same_number(self) -> None:
        self.begin()
        with self.assertRaises(errors.TicketError):
            self.begin(digest=DIGEST + 1)

    def test_expired_ticket_starts_nothing(self) -> None:
        # Guard against a repeat that starts after the record of the first
        # submission was dropped.
        with self.assertRaises(errors.TicketExpired) as caught:
            self.begin(now=START + 10.0)
        self.assertFalse(caught.exception.not_run)

    def test_records_are_dropped_some_time_after_their_ticket(self) -> None:
        self.begin()
        self.finish(ledger.RecordState.ANSWERED, ANSWER)
        self.assertIsNotNone(self.begin(now=START + 29.0))
        with self.assertRaises(errors.TicketExpired):
            self.begin(now=START + 31.0)
        self.assertEqual(0, len(self.ledger))

    def test_refuses_a_forged_expiry(self) -> None:
        for ticket in (
            Ticket(
                home=self.ticket.home,
                incarnation=self.ticket.incarnation,
                serial=serial,
                expires_at=WallTime(START + seconds),
            )
            for serial, seconds in ((1, 1e6), (2, 5.0))
        ):
            with self.assertRaises(errors.TicketError):
                self.ledger.begin(ticket, REQUEST, DIGEST, START)

    def test_refusal_of_a_full_ledger_is_final(self) -> None:
        # Guard against a delayed copy of a refused request that starts once
        # the ledger has free records again.
        self.ledger = ledger.Ledger(ledger.Limits(3, 8, 2.0, 10.0))
        early = self.ticket = self.issue(START)
        for name in 'xyz':
            self.begin(name)
        later = self.ticket = self.issue(WallTime(START + 9.0))
        with self.assertRaises(errors.Overloaded):
            self.begin(now=START + 9.0)
        for name in 'xyz':
            self.ledger.finish(
                early, RequestId(name), ledger.RecordState.NOT_RUN
            )
        self.ticket = self.issue(WallTime(START + 12.0))
        self.assertIsNone(self.begin('new', START + 13.0))
        self.ticket = later
        with self.assertRaises(errors.Overloaded):
            self.begin(now=START + 13.0)

    def test_drops_the_oldest_answers_and_keeps_their_records(self) -> None:
        for name in 'xyz':
            self.begin(name)
            self.ledger.finish(
                self.ticket,
                RequestId(name),
                ledger.RecordState.ANSWERED,
                ANSWER,
            )
        oldest = self.begin('x')
        assert oldest is not None
        self.assertIsNone(oldest.answer)
        self.assertIs(ledger.RecordState.ANSWERED, oldest.stage)

    @seed(5)
    @settings(deadline=None, database=None, max_examples=200)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['issue', 'begin', 'finish', 'wait']),
                strategies.integers(0, 3),
                strategies.integers(0, 3),
                strategies.sampled_from(list(ledger.RecordState)[1:]),
            ),
            max_size=60,
        )
    )
    def test_matches_a_ledger_without_expiry(
        self, operations: list[tuple[str, int, int, ledger.RecordState]]
    ) -> None:
        # Model: sets of all started and all refused requests. No request
        # of either set may start.
        real_ledger = ledger.Ledger(LIMITS)
        now = START
        tickets: list[Ticket] = []
        started: set[tuple[Ticket, RequestId]] = set()
        refused: set[tuple[Ticket, RequestId]] = set()
        for operation, ticket_index, name, stage in operations:
            if operation == 'issue' or not tickets:
                tickets.append(
                    real_ledger.issue(InstanceId('a'), Incarnation('1'), now)
                )
            ticket = tickets[-1 - ticket_index % len(tickets)]
            key = (ticket, RequestId(str(name)))
            if operation == 'wait':
                now = WallTime(now + 4.0 * name)
            elif operation == 'finish':
                record = real_ledger.find(*key)
                if record and record.stage is ledger.RecordState.RUNNING:
                    real_ledger.finish(*key, stage, ANSWER)
            elif operation == 'begin':
                try:
                    if real_ledger.begin(*key, DIGEST, now) is None:
                        self.assertNotIn(key, started | refused)
                        started.add(key)
                except errors.Overloaded:
                    self.assertNotIn(key, started)
                    refused.add(key)
                except errors.TicketError:
                    pass
            self.assertLessEqual(len(real_ledger), LIMITS.records)
