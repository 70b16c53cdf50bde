"""Test the limit of concurrent score requests."""

from __future__ import annotations

import itertools
from unittest import mock

from nose2.tools import params
from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.gateway import attempts
from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.gateway import partitions
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.gateway import routes
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.core.jobs.job import ScoreRequest
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.jobs import scoring
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.platform import calls

from . import world

RETRY_SECONDS = 0.5
# More than the recursion limit of the interpreter.
TEXTS = 2000


class FullCapacity:
    """Refuse every request as overloaded."""

    def __init__(self) -> None:
        self.requests = 0

    async def acquire(self, service: ServiceName, request: object) -> None:
        self.requests += 1
        raise errors.Overloaded('full', RETRY_SECONDS)


class ScoringTest(world.WorldTest):
    def test_many_texts_wait_for_an_overloaded_service(self) -> None:
        """Guard against recursion when a slot passes between many waiters."""
        state = self.state('a')
        route = routes.Route(
            name='score',
            host='s.example',
            prefix='/',
            kind=routes.RouteKind.IDEMPOTENT,
            shares=(routes.Share(world.SERVICE, 1.0),),
            timeout=1.5,
            objective=0.15,
        )
        state.route_table = routes.RouteTable(
            1, [route], [], routes.ClientLimits()
        )
        full = FullCapacity()
        sender = mock.Mock(capacity=full)
        scorer = scoring.Scorer(
            state, sender, guard.ContentGuard(state, self.clock), self.clock
        )
        run = mock.Mock()
        run.item.score_request.host = 's.example'
        run.item.score_request.path = '/score'
        run.fail_scores.return_value = False
        run.job.accepted_version = 0
        ended: list[object] = []
        for _ in range(TEXTS):
            defer.ensureDeferred(scorer.score(run)).addBoth(ended.append)
        self.run_for(1.0)
        self.assertEqual([], ended)
        # A slot is requested again only when capacity is expected.
        slots = 4
        self.assertLessEqual(full.requests, slots * (1.0 / RETRY_SECONDS + 1))


class Sender:
    """Never answer a call."""

    def __init__(self) -> None:
        self.calls = 0
        self.capacity = port.NO_CAPACITY

    async def send(self, *_: object) -> None:
        self.calls += 1
        await defer.Deferred()


class SlotsTest(world.WorldTest):
    # Number of holders, and slots of each: all holders together get a fraction
    # of 0.7 of the slots of 40 targets with 4 slots each.
    @params((1, 112), (4, 28))
    def test_holders_share_the_slots(self, holders: int, slots: int) -> None:
        """Guard against holders that each use all slots of a service."""
        state = self.state('a')
        state.divisions_by_service[world.SERVICE] = partitions.Division(
            parts=holders, is_by_items=holders > 1
        )
        for number in range(39):
            state.targets.put(world.engine(f'more{number}'))
        state.route_table = routes.RouteTable(
            1, [world.batch_route()], [], routes.ClientLimits()
        )
        sender = Sender()
        scorer = scoring.Scorer(
            state, sender, guard.ContentGuard(state, self.clock), self.clock
        )
        request = ScoreRequest(
            id=RequestId('r'), host='t.example', path='/train/1', body=b''
        )
        run = mock.Mock()
        run.item.score_request = request
        run.job.accepted_version = 0
        for _ in range(200):
            scoring_one = defer.Deferred.fromCoroutine(scorer.score(run))
            scoring_one.addErrback(lambda f: f.trap(defer.CancelledError))
            self.addCleanup(scoring_one.cancel)
        self.assertEqual(slots, sender.calls)


class OlderConfigurationTest(world.WorldTest):
    # Version of the configuration under which the job was accepted, and the
    # calls that are sent under version 1.
    @params((1, 1), (2, 0))
    def test_no_score_is_requested_under_an_older_configuration(
        self, accepted_version: int, calls: int
    ) -> None:
        """Guard against scores that fail by the routes of an old copy."""
        state = self.state('a')
        state.route_table = routes.RouteTable(
            1, [world.batch_route()], [], routes.ClientLimits()
        )
        sender = Sender()
        run = mock.Mock()
        run.item.score_request = ScoreRequest(
            id=RequestId('r'), host='t.example', path='/train/1', body=b''
        )
        run.job.accepted_version = accepted_version
        scorer = scoring.Scorer(
            state, sender, guard.ContentGuard(state, self.clock), self.clock
        )
        scored = defer.Deferred.fromCoroutine(scorer.score(run))
        scored.addErrback(lambda f: f.trap(defer.CancelledError))
        self.addCleanup(scored.cancel)
        self.run_for(1.0)
        self.assertEqual(calls, sender.calls)


class CrashingTargets:
    """Answer score requests, or record that their target crashed."""

    def __init__(self, crash_guard: guard.ContentGuard) -> None:
        self.capacity = port.NO_CAPACITY
        self.guard = crash_guard
        self.trials: list[float] = []
        self.is_sound = True

    async def send(
        self,
        service: ServiceName,
        call: calls.TargetCall,
        plan: attempts.AttemptPlan,
        record: object,
        permit: object,
        is_trial: bool = False,
    ) -> TargetAnswer:
        self.guard.admit(call.content, service, is_trial)
        self.trials.append(self.guard.now())
        if self.is_sound:
            return TargetAnswer(
                status=200, headers=(), body=b'', signature='signed'
            )
        self.crash(call.content, len(self.trials))
        raise errors.OutcomeUnknown('lost')

    def crash(self, content: ContentDigest, number: int) -> None:
        self.guard.record_crash(
            CrashReport(target=TargetId(f't{number}'), contents=(content,))
        )


class QuarantinedScoreTest(world.WorldTest):
    """Targets crashed while they ran the score request of an item."""

    def setUp(self) -> None:
        super().setUp()
        state = self.state('a')
        state.route_table = routes.RouteTable(
            1, [world.batch_route()], [], routes.ClientLimits()
        )
        self.guard = guard.ContentGuard(state, self.clock)
        self.targets = CrashingTargets(self.guard)
        self.scorer = scoring.Scorer(
            state, self.targets, self.guard, self.clock
        )
        self.content = calls.TargetCall(
            id=RequestId('r'),
            method='POST',
            target='/train/1',
            headers=(('Host', 't.example'),),
        ).content

    def score(self) -> list[object]:
        for number in range(3):
            self.targets.crash(self.content, 100 + number)
        run = mock.Mock()
        run.item.score_request = ScoreRequest(
            id=RequestId('r'), host='t.example', path='/train/1', body=b''
        )
        run.job.accepted_version = 0
        run.fail_scores.return_value = False
        scored: list[object] = []
        work = defer.Deferred.fromCoroutine(self.scorer.score(run))
        work.addCallbacks(scored.append, lambda _: None)
        self.addCleanup(work.cancel)
        return scored

    def test_a_sound_score_request_is_tried_again(self) -> None:
        """Guard against a whole text that never gets its score."""
        scored = self.score()
        self.run_for(2.5)
        self.assertEqual([], self.targets.trials)
        self.run_for(4.0)
        self.assertEqual(['signed'], scored)
        self.assertEqual((), tuple(self.guard.ledger.quarantined()))

    def test_a_crashing_score_request_is_tried_rarely(self) -> None:
        """Guard against a score request that crashes target after target."""
        self.targets.is_sound = False
        scored = self.score()
        self.run_for(60.0, step=0.05)
        self.assertEqual([], scored)
        self.assertLessEqual(len(self.targets.trials), 9)
        for before, after in itertools.pairwise(self.targets.trials):
            self.assertLessEqual(7.0, after - before)
            self.assertLessEqual(after - before, 9.0)
        self.assertEqual(1, len(self.guard.ledger.quarantined()))

    def test_an_unexpected_error_does_not_end_a_score(self) -> None:
        """Guard against a whole text that never gets its score."""
        original, failures = self.targets.send, [KeyError('x')] * 2

        async def send(*args: object, **named: object) -> TargetAnswer:
            if failures:
                raise failures.pop()
            return await original(*args, **named)

        self.targets.send = send  # type: ignore[method-assign]
        scored = self.score()
        self.run_for(15.0)
        self.assertEqual(['signed'], scored)

    def test_other_requests_of_the_content_are_refused(self) -> None:
        """Guard against a trial that admits the requests of callers."""
        self.score()
        self.run_for(2.5)
        with self.assertRaises(errors.RequestQuarantined):
            self.guard.admit(self.content, world.SERVICE)
