"""Test the memory of non-repeatable requests."""

from __future__ import annotations

import unittest

from yuccarill.core.calls import ledger
from yuccarill.core.ids import RequestId

KEY = ('home/1/1', RequestId('r'))


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ledger.Ledger()

    def test_repeat_while_running_does_not_start(self) -> None:
        # The caller's first try is on its way to the target when its
        # repeat arrives. A second start would charge the rider twice.
        self.assertIsNone(self.ledger.begin(*KEY))
        record = self.ledger.begin(*KEY)
        assert record is not None
        self.assertIs(ledger.Stage.RUNNING, record.stage)

    def test_repeat_gets_the_first_answer(self) -> None:
        answer = ledger.Answer(200, 'text/plain', b'paid')
        self.ledger.begin(*KEY)
        self.ledger.finish(*KEY, ledger.Stage.ANSWERED, answer)
        record = self.ledger.begin(*KEY)
        assert record is not None
        self.assertEqual(answer, record.answer)

    def test_not_run_may_start_again(self) -> None:
        self.ledger.begin(*KEY)
        self.ledger.finish(*KEY, ledger.Stage.NOT_RUN)
        self.assertIsNone(self.ledger.begin(*KEY))
