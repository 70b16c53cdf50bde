"""Test what is remembered of ends of targets, and for how long."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import end_ledger
from yuccarill.core.gateway.end_ledger import EndReport
from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId

X = ContentDigest('x')
P = ContentDigest('p')


def report(target: str, *contents: str, age: float = 0.0) -> EndReport:
    return EndReport(
        target=TargetId(target),
        contents=tuple(ContentDigest(c) for c in contents),
        age=age,
    )


class EndLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = end_ledger.EndLedger()

    def end(self, at: float, target: str, *contents: str) -> None:
        self.ledger.report(report(target, *contents), Instant(at))

    # Reports of instances, as target, age and time: the ends they tell of.
    @params(
        ([('t', 0.0, 1.0), ('t', 0.0, 1.2)], 1),
        ([('t', 0.0, 1.0), ('t', 4.0, 5.1)], 1),
        ([('t', 0.0, 1.0), ('u', 0.0, 1.0)], 2),
        # A target that is back under its id, and ends again.
        ([('t', 0.0, 1.0), ('t', 0.0, 5.0)], 2),
    )
    def test_one_end_is_counted_once(
        self, reports: list[tuple[str, float, float]], count: int
    ) -> None:
        for target, age, at in reports:
            self.ledger.report(report(target, 'x', age=age), Instant(at))
        self.assertEqual(count, len(self.ledger.targets(X)))

    def test_a_request_at_two_targets_that_end_together(self) -> None:
        """A caller was refused for an hour although its request was sound.

        1. The request is at two targets, the second attempt beside the first,
           as all targets of its service end in one moment.
        2. Eight seconds later all end again, under its third attempt.
        3. Two chances are no proof: it may be sent on, one at a time.
        """
        for target in ('t9', 't10'):
            told = EndReport(
                target=TargetId(target),
                contents=(X,),
                requests_by_content={X: RequestId('r')},
            )
            self.ledger.report(told, Instant(16.005))
        self.assertEqual(Verdict.WATCHED, self.ledger.verdict(X))
        self.end(32.01, 't24', 'x')
        self.assertEqual(Verdict.SUSPECT, self.ledger.verdict(X))
        self.end(40.0, 't25', 'x')
        self.assertEqual(Verdict.QUARANTINED, self.ledger.verdict(X))

    def test_a_moment_counts_alike_for_all_that_were_there(self) -> None:
        """A sound item was held that two jobs have, and the guilty one not.

        1. A request ends three targets in a moment: one chance.
        2. Two others of one content were at two of these: one chance too.
        3. Another end has both: neither is the likelier cause.
        """
        ends = (('t0', 'r1'), ('t1', ''), ('t2', 'r2'))
        for number, (target, beside) in enumerate(ends):
            requests = {X: RequestId('r'), P: RequestId(beside)}
            known = {c: r for c, r in requests.items() if r}
            told = EndReport(
                target=TargetId(target),
                contents=tuple(known),
                requests_by_content=known,
            )
            self.ledger.report(told, Instant(1.0 + 0.01 * number))
        self.end(5.0, 't3', 'x', 'p')
        self.assertEqual(Verdict.SUSPECT, self.ledger.verdict(X))
        self.assertEqual(Verdict.SUSPECT, self.ledger.verdict(P))

    def test_blame_falls_on_what_is_always_there(self) -> None:
        """A content that others of its kind finish elsewhere is no cause."""
        for number in range(3):
            self.end(float(number), f't{number}', 'x', 'p')
        self.assertEqual(Verdict.SUSPECT, self.ledger.verdict(P))
        self.ledger.completed(P, Instant(3.0))
        self.assertEqual(Verdict.CLEAR, self.ledger.verdict(P))
        self.assertEqual(Verdict.QUARANTINED, self.ledger.verdict(X))

    def test_reports_of_one_end_are_put_together(self) -> None:
        self.end(1.0, 't', 'x')
        self.end(1.1, 't', 'p')
        self.assertEqual(
            [('x', 'p')],
            [each.contents for each in self.ledger.reports(Instant(2.0))],
        )

    # When a run of the content was finished, and whether an end at 100 s
    # counts against it.
    @params((50.0, True), (75.0, False), (99.0, False), (101.0, False))
    def test_what_a_target_finished_is_no_cause(
        self, completed_at: float, counts: bool
    ) -> None:
        if completed_at < 100.0:
            self.ledger.completed(P, Instant(completed_at))
        self.end(100.0, 't', 'p')
        if completed_at > 100.0:
            self.assertTrue(self.ledger.completed(P, Instant(completed_at)))
        verdict = Verdict.WATCHED if counts else Verdict.CLEAR
        self.assertEqual(verdict, self.ledger.verdict(P))

    def test_a_quarantine_ends(self) -> None:
        for number in range(3):
            self.end(float(number), f't{number}', 'x')
        self.assertEqual(Verdict.QUARANTINED, self.ledger.verdict(X))
        over = Instant(3.0 + end_ledger.QUARANTINE_SECONDS)
        self.assertEqual([], self.ledger.expire(Instant(over - 2.0)))
        self.assertEqual([X], self.ledger.expire(over))
        self.assertEqual(Verdict.CLEAR, self.ledger.verdict(X))
        self.assertTrue(self.ledger.is_clear)

    def test_a_finished_run_does_not_end_a_quarantine(self) -> None:
        """A late answer of long ago must not let three more targets end."""
        for number in range(3):
            self.end(float(number), f't{number}', 'x')
        self.ledger.completed(X, Instant(4.0))
        self.assertEqual(Verdict.QUARANTINED, self.ledger.verdict(X))

    def test_an_operator_releases(self) -> None:
        for number in range(3):
            self.end(float(number), f't{number}', 'x')
        self.ledger.release(X, Instant(4.0))
        self.assertEqual(Verdict.CLEAR, self.ledger.verdict(X))

    def test_ends_of_long_ago_do_not_count(self) -> None:
        self.end(0.0, 't', 'x')
        self.ledger.expire(Instant(end_ledger.END_SECONDS))
        self.assertTrue(self.ledger.is_clear)

    def test_memory_is_bounded(self) -> None:
        for number in range(5000):
            content = ContentDigest(f'c{number}')
            self.ledger.completed(content, Instant(0.0))
            self.ledger.quarantine(content, 60.0, Instant(0.0))
        for number in range(2 * end_ledger.MAX_ENDS):
            self.end(100.0 * number, f't{number}', 'x', 'y')
        self.assertLessEqual(
            len(self.ledger.quarantined()), end_ledger.MAX_QUARANTINED + 2
        )
        self.assertLessEqual(len(self.ledger.targets(X)), end_ledger.MAX_ENDS)
        self.assertLessEqual(
            len(self.ledger._completed_at), end_ledger.MAX_COMPLETED
        )
