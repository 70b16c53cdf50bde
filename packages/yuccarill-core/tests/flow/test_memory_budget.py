"""Test which holders are paused or dropped over a memory bound."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.flow import memory_budget
from yuccarill.core.flow.memory_budget import BufferKind
from yuccarill.core.flow.memory_budget import Pressure
from yuccarill.core.flow.memory_budget import RequestStage
from yuccarill.core.ids import AccountName

BOUNDS = memory_budget.MemoryBounds(
    request=10, connection=40, account=100, process=200
)
ANSWER = BufferKind.ANSWER
BODY = BufferKind.REQUEST_BODY
ARRIVING = RequestStage.ARRIVING
SERVED = RequestStage.SERVED
ANSWERED = RequestStage.ANSWERED
RESUMABLE = RequestStage.RESUMABLE


def holder(
    number: int, stage: RequestStage, account: str = ''
) -> memory_budget.Holder:
    return memory_budget.Holder(
        id=memory_budget.HolderId(number),
        account=AccountName(account) if account else None,
        stage=stage,
    )


class BudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = memory_budget.MemoryBudget(BOUNDS)

    def hold(
        self, *rows: tuple[RequestStage, BufferKind, int, str]
    ) -> Pressure:
        """Buffer bytes for one holder per row; return the last pressure."""
        found = Pressure.NONE
        for number, (stage, kind, count, account) in enumerate(rows):
            each = holder(number, stage, account)
            found = self.budget.set_buffered(each, kind, count)
        return found

    def dropped(self) -> list[int]:
        return [int(drop.holder) for drop in self.budget.choose_drops()]

    # The expected pressure is that of the last row's holder.
    @params(
        ([(RESUMABLE, ANSWER, 10, '')], Pressure.NONE),
        ([(RESUMABLE, ANSWER, 11, '')], Pressure.PAUSE),
        # An answer that can't be resumed is buffered up to a larger bound.
        ([(ANSWERED, ANSWER, 40, '')], Pressure.NONE),
        ([(ANSWERED, ANSWER, 41, '')], Pressure.PAUSE),
        # A paused body could wait indefinitely.
        ([(ARRIVING, BODY, 150, '')], Pressure.NONE),
        ([(SERVED, BODY, 99, ''), (RESUMABLE, ANSWER, 1, '')], Pressure.NONE),
        (
            [(SERVED, BODY, 100, ''), (RESUMABLE, ANSWER, 1, '')],
            Pressure.PAUSE,
        ),
        (
            [(SERVED, BODY, 50, 'a'), (RESUMABLE, ANSWER, 1, 'a')],
            Pressure.PAUSE,
        ),
        (
            [(SERVED, BODY, 50, 'a'), (RESUMABLE, ANSWER, 1, 'b')],
            Pressure.NONE,
        ),
        ([(SERVED, BODY, 100, 'a'), (ARRIVING, BODY, 1, 'a')], Pressure.DROP),
        ([(SERVED, BODY, 200, ''), (ARRIVING, BODY, 1, '')], Pressure.DROP),
    )
    def test_pressure(self, rows: list, expected: Pressure) -> None:
        self.assertIs(expected, self.hold(*rows))

    @params(
        ([(RESUMABLE, ANSWER, 200, '')], []),
        # A resumable answer is dropped before an arriving body, and that
        # before an answer that would be lost.
        (
            [
                (ANSWERED, ANSWER, 90, ''),
                (ARRIVING, BODY, 90, ''),
                (RESUMABLE, ANSWER, 25, ''),
            ],
            [2],
        ),
        ([(ANSWERED, ANSWER, 190, ''), (ARRIVING, BODY, 20, '')], [1]),
        # Within a stage, the holder with most bytes is dropped first.
        (
            [
                (RESUMABLE, ANSWER, 60, ''),
                (RESUMABLE, ANSWER, 80, ''),
                (RESUMABLE, ANSWER, 70, ''),
            ],
            [1],
        ),
        # Holders are dropped until the bound is met.
        (
            [
                (SERVED, BODY, 190, ''),
                (RESUMABLE, ANSWER, 20, ''),
                (ARRIVING, BODY, 30, ''),
                (ANSWERED, ANSWER, 40, ''),
            ],
            [1, 2, 3],
        ),
        # A served request ends by its own deadline.
        ([(SERVED, BODY, 300, '')], []),
    )
    def test_drops_over_the_process_bound(
        self, rows: list, expected: list[int]
    ) -> None:
        self.hold(*rows)
        self.assertEqual(expected, self.dropped())

    def test_account_bound_drops_only_that_account(self) -> None:
        """Guard against dropping others for an account's slow readers."""
        self.hold(
            (RESUMABLE, ANSWER, 80, 'b'),
            (ANSWERED, ANSWER, 60, 'a'),
            (ANSWERED, ANSWER, 50, 'a'),
        )
        self.assertEqual([1], self.dropped())
        self.assertIs(
            memory_budget.Scope.ACCOUNT, self.budget.choose_drops()[0].scope
        )

    def test_released_bytes_are_not_counted(self) -> None:
        """Guard against bytes that stay counted after a request has ended."""
        first = holder(1, ANSWERED, 'a')
        self.budget.set_buffered(first, ANSWER, 70)
        self.budget.set_buffered(first, BODY, 20)
        self.budget.set_account(first, AccountName('b'))
        self.budget.set_buffered(first, BODY, 0)
        self.assertEqual(70, self.budget.held)
        self.budget.release(first)
        self.assertEqual(0, self.budget.held)
        again = holder(2, ARRIVING, 'b')
        self.assertIs(
            Pressure.NONE, self.budget.set_buffered(again, BODY, 100)
        )

    @params(160e6, 300e6, 552e6)
    def test_a_body_of_maximum_length_fits_twice(self, memory: float) -> None:
        found = memory_budget.bounds(int(memory))
        self.assertGreater(found.process, 32 << 20)
        self.assertLessEqual(
            memory_budget.BASE_BYTES + 2 * found.process, memory
        )
        self.assertLess(found.request, found.connection)
        self.assertLess(found.connection, found.account)

    def test_a_very_small_machine_has_a_minimum_bound(self) -> None:
        self.assertEqual(
            memory_budget.MIN_PROCESS_BYTES, memory_budget.bounds(1).process
        )
