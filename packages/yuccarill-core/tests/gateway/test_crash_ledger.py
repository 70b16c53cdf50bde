"""Test how ends of targets are recorded and when they expire."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import crash_ledger
from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId

X = ContentDigest('x')
P = ContentDigest('p')


def report(target: str, *contents: str, age: float = 0.0) -> CrashReport:
    return CrashReport(
        target=TargetId(target),
        contents=tuple(ContentDigest(c) for c in contents),
        age=age,
    )


class CrashLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = crash_ledger.CrashLedger()

    def end(self, at: float, target: str, *contents: str) -> None:
        self.ledger.report(report(target, *contents), Instant(at))

    # Reports as target, age and time; number of distinct ends.
    @params(
        ([('t', 0.0, 1.0), ('t', 0.0, 1.2)], 1),
        ([('t', 0.0, 1.0), ('t', 4.0, 5.1)], 1),
        ([('t', 0.0, 1.0), ('u', 0.0, 1.0)], 2),
        # A target restarts under its id and ends again.
        ([('t', 0.0, 1.0), ('t', 0.0, 5.0)], 2),
    )
    def test_an_end_is_counted_once(
        self, reports: list[tuple[str, float, float]], count: int
    ) -> None:
        for target, age, at in reports:
            self.ledger.report(report(target, 'x', age=age), Instant(at))
        self.assertEqual(count, len(self.ledger.targets(X)))

    def test_a_request_at_two_targets_that_end_together(self) -> None:
        """Guards against quarantine of a harmless hedged request.

        Two targets that end together while they run it are one incident.
        """
        for target in ('t9', 't10'):
            end_report = CrashReport(
                target=TargetId(target),
                contents=(X,),
                requests_by_content={X: RequestId('r')},
            )
            self.ledger.report(end_report, Instant(16.005))
        self.assertEqual(Verdict.WATCHED, self.ledger.verdict(X))
        self.end(32.01, 't24', 'x')
        self.assertEqual(Verdict.SUSPECT, self.ledger.verdict(X))
        self.end(40.0, 't25', 'x')
        self.assertEqual(Verdict.QUARANTINED, self.ledger.verdict(X))

    def test_an_incident_counts_once_for_each_content(self) -> None:
        """Guards against counting a harmless content of two requests twice."""
        ends = (('t0', 'r1'), ('t1', ''), ('t2', 'r2'))
        for number, (target, other_request) in enumerate(ends):
            requests = {X: RequestId('r'), P: RequestId(other_request)}
            known = {c: r for c, r in requests.items() if r}
            end_report = CrashReport(
                target=TargetId(target),
                contents=tuple(known),
                requests_by_content=known,
            )
            self.ledger.report(end_report, Instant(1.0 + 0.01 * number))
        self.end(5.0, 't3', 'x', 'p')
        self.assertEqual(Verdict.SUSPECT, self.ledger.verdict(X))
        self.assertEqual(Verdict.SUSPECT, self.ledger.verdict(P))

    def test_a_completed_content_is_cleared(self) -> None:
        """Guards against blame on a content that completes elsewhere."""
        for number in range(3):
            self.end(float(number), f't{number}', 'x', 'p')
        self.assertEqual(Verdict.SUSPECT, self.ledger.verdict(P))
        self.ledger.completed(P, Instant(3.0))
        self.assertEqual(Verdict.CLEAR, self.ledger.verdict(P))
        self.assertEqual(Verdict.QUARANTINED, self.ledger.verdict(X))

    def test_reports_of_one_end_are_merged(self) -> None:
        self.end(1.0, 't', 'x')
        self.end(1.1, 't', 'p')
        self.assertEqual(
            [('x', 'p')],
            [each.contents for each in self.ledger.reports(Instant(2.0))],
        )

    # Completion time of a run, whether an end at 100 s counts.
    @params((50.0, True), (75.0, False), (99.0, False), (101.0, False))
    def test_a_recently_completed_content_is_not_blamed(
        self, completed_at: float, counts: bool
    ) -> None:
        if completed_at < 100.0:
            self.ledger.completed(P, Instant(completed_at))
        self.end(100.0, 't', 'p')
        if completed_at > 100.0:
            self.assertTrue(self.ledger.completed(P, Instant(completed_at)))
        verdict = Verdict.WATCHED if counts else Verdict.CLEAR
        self.assertEqual(verdict, self.ledger.verdict(P))

    def test_a_quarantine_expires(self) -> None:
        for number in range(3):
            self.end(float(number), f't{number}', 'x')
        self.assertEqual(Verdict.QUARANTINED, self.ledger.verdict(X))
        over = Instant(3.0 + crash_ledger.QUARANTINE_SECONDS)
        self.assertEqual([], self.ledger.expire(Instant(over - 2.0)))
        self.assertEqual([X], self.ledger.expire(over))
        self.assertEqual(Verdict.CLEAR, self.ledger.verdict(X))
        self.assertTrue(self.ledger.is_clear)

    def test_a_completed_run_does_not_lift_a_quarantine(self) -> None:
        """Guards against a late response that lifts the quarantine."""
        for number in range(3):
            self.end(float(number), f't{number}', 'x')
        self.ledger.completed(X, Instant(4.0))
        self.assertEqual(Verdict.QUARANTINED, self.ledger.verdict(X))

    def test_release_lifts_a_quarantine(self) -> None:
        for number in range(3):
            self.end(float(number), f't{number}', 'x')
        self.ledger.release(X, Instant(4.0))
        self.assertEqual(Verdict.CLEAR, self.ledger.verdict(X))

    def test_old_ends_do_not_count(self) -> None:
        self.end(0.0, 't', 'x')
        self.ledger.expire(Instant(crash_ledger.END_SECONDS))
        self.assertTrue(self.ledger.is_clear)

    def test_memory_is_bounded(self) -> None:
        for number in range(5000):
            content = ContentDigest(f'c{number}')
            self.ledger.completed(content, Instant(0.0))
            self.ledger.quarantine(content, 60.0, Instant(0.0))
        for number in range(2 * crash_ledger.MAX_ENDS):
            self.end(100.0 * number, f't{number}', 'x', 'y')
        self.assertLessEqual(
            len(self.ledger.quarantined()), crash_ledger.MAX_QUARANTINED + 2
        )
        self.assertLessEqual(
            len(self.ledger.targets(X)), crash_ledger.MAX_ENDS
        )
        self.assertLessEqual(
            len(self.ledger._completed_at), crash_ledger.MAX_COMPLETED_CONTENTS
        )
