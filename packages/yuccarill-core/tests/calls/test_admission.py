"""Test which calls are admitted, queued or refused."""

from __future__ import annotations

import collections
import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies

from yuccarill.core.calls import admission
from yuccarill.core.config.inventory import CallerClass
from yuccarill.core.ids import CallerId
from yuccarill.core.ids import Instant

NOW = Instant(100.0)
LATENCY = CallerClass.LATENCY
INTERNAL = CallerClass.INTERNAL
POLICY = admission.AdmissionPolicy(queued=6, internal_turn=10, headroom=1.0)


def call(
    caller: str,
    caller_class: CallerClass = LATENCY,
    share: int = 1,
    seconds: float = 10.0,
) -> admission.QueuedCall[str]:
    deadline = Instant(NOW + seconds)
    return admission.QueuedCall(
        caller, CallerId(caller), caller_class, share, deadline
    )


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = admission.Admission[str](POLICY)

    def offer(self, waiting: admission.QueuedCall[str]) -> list[str]:
        refused = self.admission.offer(waiting, 1.0, 0.1, NOW)
        return [w.item for w in refused]

    def admit(self, limit: float = 1.0, now: Instant = NOW) -> list[str]:
        return [w.item for w in self.admission.admit(limit, 0.1, now)[0]]

    def test_admits_up_to_the_limit(self) -> None:
        for _ in range(3):
            self.offer(call('a'))
        self.assertEqual(['a', 'a'], self.admit(2.0))
        self.admission.release()
        self.assertEqual(['a'], self.admit(2.0))

    def test_latency_class_goes_first(self) -> None:
        self.offer(call('feed', INTERNAL))
        self.offer(call('app'))
        self.assertEqual(['app', 'feed'], self.admit(2.0))

    def test_latency_class_exceeds_a_low_limit(self) -> None:
        # Guard against latency calls that are queued at an instance with a
        # low limit while other instances run internal calls.
        self.admission = admission.Admission(
            admission.AdmissionPolicy(headroom=2.0)
        )
        for caller_class in (INTERNAL, INTERNAL, LATENCY, LATENCY):
            self.offer(call(caller_class.value, caller_class))
        self.assertEqual(['latency', 'latency'], self.admit(1.0))

    def test_internal_class_is_not_starved(self) -> None:
        for _ in range(3):
            self.offer(call('feed', INTERNAL))
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(30):
            self.offer(call('app'))
            counts.update(self.admit())
            self.admission.release()
        self.assertEqual(3, counts['feed'])

    def test_sheds_the_internal_class_and_largest_caller_first(self) -> None:
        for caller in ('small', 'large', 'large', 'large'):
            self.assertEqual([], self.offer(call(caller, INTERNAL)))
        for _ in range(2):
            self.assertEqual([], self.offer(call('app')))
        self.assertEqual(['large'], self.offer(call('app')))

    def test_refuses_calls_that_would_miss_their_deadline(self) -> None:
        # Guard against a call that is queued although its deadline is before
        # its expected start: one slot is released every 2 s.
        self.admit()
        for n in range(60):
            self.offer(call('app', seconds=1000.0))
            self.admission.release()
            self.admit(1.0, Instant(NOW + 2.0 * n))
            self.offer(call('app', seconds=1000.0))
        refused = self.offer(call('late', seconds=5.0))
        self.assertEqual(['late'], refused)

    def test_gives_up_calls_that_would_miss_their_deadline(self) -> None:
        self.offer(call('late', seconds=1.0))
        self.offer(call('good', seconds=10.0))
        admitted, given_up = self.admission.admit(2.0, 0.5, Instant(NOW + 0.8))
        self.assertEqual(['good'], [w.item for w in admitted])
        self.assertEqual(['late'], [w.item for w in given_up])

    @seed(5)
    @settings(deadline=None, database=None, max_examples=100)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['offer', 'admit', 'withdraw']),
                strategies.integers(0, 2),
                strategies.sampled_from(list(CallerClass)),
            ),
            max_size=60,
        )
    )
    def test_matches_a_list_of_waiting_calls(
        self, operations: list[tuple[str, int, CallerClass]]
    ) -> None:
        # Model: a plain list. Each call ends exactly once, and a caller's
        # calls are admitted in the order of arrival.
        queue = admission.Admission[int](POLICY)
        waiting: list[admission.QueuedCall[int]] = []
        for number, (operation, who, caller_class) in enumerate(operations):
            if operation == 'offer':
                new = admission.QueuedCall(
                    number,
                    CallerId(f'{caller_class}{who}'),
                    caller_class,
                    who + 1,
                    Instant(NOW + 1e6),
                )
                refused = queue.offer(new, 0.0, 0.1, NOW)
                waiting.append(new)
                for one in refused:
                    waiting.remove(one)
            elif operation == 'admit':
                admitted, given_up = queue.admit(1.0, 0.1, NOW)
                self.assertEqual([], given_up)
                self.assertEqual(min(1, len(waiting)), len(admitted))
                for one in admitted:
                    of_caller = [w for w in waiting if w.caller == one.caller]
                    self.assertIs(of_caller[0], one)
                    waiting.remove(one)
                    queue.release()
            elif waiting:
                withdrawn = waiting.pop(who % len(waiting))
                queue.withdraw(withdrawn)
            self.assertEqual(len(waiting), queue.queued)
            self.assertLessEqual(queue.queued, POLICY.queued)

    def test_shares_between_callers(self) -> None:
        policy = admission.AdmissionPolicy(queued=1000, headroom=1.0)
        self.admission = admission.Admission(policy)
        for _ in range(200):
            self.offer(call('large', share=4))
            self.offer(call('small'))
        counts = collections.Counter(self.admit(100.0))
        self.assertAlmostEqual(80, counts['large'], delta=2)
