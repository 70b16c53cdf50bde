"""Test which requests are kept from a service's last live target.

A request crashes or silences several targets of a small service within a
second. A harmless request that ran at these targets is held for at most 3 s.
"""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import crash_ledger
from yuccarill.core.gateway import last_target_guard
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.gateway import unconfirmed_losses
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId

X = ContentDigest('x')
P = ContentDigest('p')
MAX_DELAY = 3.0


def target(name: str, address: str = '') -> ListedTarget:
    return ListedTarget(
        id=TargetId(name),
        service=ServiceName('s'),
        address=address or f'{name}:80',
        data_centre=DataCentreId('d'),
        slots=4,
    )


class LastTargetGuardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = crash_ledger.CrashLedger()
        self.losses = unconfirmed_losses.UnconfirmedLosses()
        self.guard = last_target_guard.LastTargetGuard(
            self.ledger, self.losses
        )

    def lose(self, number: int, at: float, has_ended: bool, *contents) -> None:
        found = dict.fromkeys(contents, RequestId('r'))
        if has_ended:
            report = crash_ledger.CrashReport(
                target=TargetId(f't{number}'),
                contents=tuple(found),
                requests_by_content=found,
            )
            self.ledger.report(report, Instant(at))
        else:
            self.losses.add(target(f't{number}'), found, Instant(at))

    def must_hold(self, content: str, targets: int, at: float) -> bool:
        ready = {TargetId(f't{number}') for number in range(targets)}
        found = ContentDigest(content)
        return self.guard.must_hold(found, ready, Instant(at))

    # Targets, targets lost at once, whether the request is held back if the
    # ports of these are closed, and if they are open.
    @params(
        (3, 1, False, False),
        (3, 2, True, True),
        (4, 2, False, False),
        (16, 2, False, False),
        (16, 3, False, True),
    )
    def test_losses(
        self, targets: int, lost: int, ended: bool, silent: bool
    ) -> None:
        """Guards against the loss of the last target after one incident."""
        for has_ended, expected in ((True, ended), (False, silent)):
            self.setUp()
            for number in range(lost):
                self.lose(number, 1.0 + 0.01 * number, has_ended, X)
            self.assertEqual(expected, self.must_hold('x', targets, 1.1))
            self.assertFalse(self.must_hold('p', targets, 1.1))

    @params((True,), (False,))
    def test_a_harmless_request_is_held_briefly(self, has_ended: bool) -> None:
        for number in range(2):
            self.lose(number, 1.0, has_ended, X, P)
        self.assertTrue(self.must_hold('p', 3, 1.1))
        self.assertFalse(self.must_hold('p', 3, 1.0 + MAX_DELAY))

    def test_the_likeliest_cause_is_held_longer(self) -> None:
        self.lose(0, 1.0, True, X, P)
        self.lose(1, 1.0, True, X)
        self.assertTrue(self.must_hold('x', 3, 1.0 + MAX_DELAY))
        self.assertFalse(self.must_hold('p', 3, 1.1))

    def test_a_target_that_responds_is_not_lost(self) -> None:
        """Guards against refusing callers when only connections broke."""
        for number in range(2):
            self.lose(number, 1.0, False, X)
        self.losses.record_response(TargetId('t0'))
        self.assertFalse(self.must_hold('x', 3, 1.1))


class UnconfirmedLossesTest(unittest.TestCase):
    # Seconds between two losses at a target, whether the target responded in
    # between, whether the later loss counts.
    @params(
        (0.01, False, True),
        (0.5, False, False),
        (0.5, True, True),
    )
    def test_calls_that_reached_no_process_do_not_count(
        self, seconds: float, has_responded: bool, counts: bool
    ) -> None:
        """Guards against holding requests that reached no process."""
        found = unconfirmed_losses.UnconfirmedLosses()
        found.add(target('t'), {X: RequestId('r')}, Instant(1.0))
        if has_responded:
            found.record_response(TargetId('t'))
        at = Instant(1.0 + seconds)
        found.add(target('t'), {P: RequestId('q')}, at)
        self.assertEqual(counts, bool(found.losses_of(P, at)))

    def test_a_completed_content_is_removed(self) -> None:
        found = unconfirmed_losses.UnconfirmedLosses()
        found.add(target('t'), {X: RequestId('r')}, Instant(1.0))
        found.completed(X)
        self.assertEqual([], found.losses_of(X, Instant(1.0)))

    # Next listed process, time of listing, whether it confirms the exit.
    @params(
        (target('u', 't:80'), 4.0, True),
        (target('t'), 4.0, False),
        (target('u'), 4.0, False),
        (target('u', 't:80'), 9.1, False),
    )
    def test_the_target_list_confirms_an_exit(
        self, listed: ListedTarget, at: float, is_confirmed: bool
    ) -> None:
        found = unconfirmed_losses.UnconfirmedLosses()
        found.add(target('t'), {X: RequestId('r')}, Instant(1.0))
        self.assertEqual(
            is_confirmed, bool(found.pop_confirmed(listed, Instant(at)))
        )
        self.assertEqual([], found.pop_confirmed(listed, Instant(at)))
