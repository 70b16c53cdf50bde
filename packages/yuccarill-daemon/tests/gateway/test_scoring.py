"""Test how many scores are asked for at a time."""

from __future__ import annotations

from unittest import mock

from nose2.tools import params
from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.gateway import partitions
from yuccarill.core.gateway import routes
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.jobs.job import ScoreRequest
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.jobs import scoring

from . import world

RETRY_SECONDS = 0.5
# More than the interpreter's stack would bear, one inside the other.
TEXTS = 2000


class Full:
    """Refuse every request."""

    def __init__(self) -> None:
        self.asked = 0

    async def enter(self, service: ServiceName, request: object) -> None:
        self.asked += 1
        raise errors.Overloaded('full', RETRY_SECONDS)


class ScoringTest(world.WorldTest):
    def test_many_texts_wait_for_a_service_that_is_full(self) -> None:
        """Guard against a place that is handed on within one call."""
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
        state.table = routes.RouteTable(1, [route], [], routes.ClientLimits())
        full = Full()
        sender = mock.Mock(capacity=full)
        scorer = scoring.Scorer(state, sender, self.clock)
        run = mock.Mock()
        run.item.score_request.host = 's.example'
        run.item.score_request.path = '/score'
        run.fail_scores.return_value = False
        ended: list[object] = []
        for _ in range(TEXTS):
            defer.ensureDeferred(scorer.score(run)).addBoth(ended.append)
        self.run_for(1.0)
        self.assertEqual([], ended)
        # A place is asked for again only when capacity is expected.
        places = 4
        self.assertLessEqual(full.asked, places * (1.0 / RETRY_SECONDS + 1))


class Sender:
    """Hold every call open."""

    def __init__(self) -> None:
        self.calls = 0
        self.capacity = port.NO_CAPACITY

    async def send(self, *_: object) -> None:
        self.calls += 1
        await defer.Deferred()


class PlacesTest(world.WorldTest):
    # Holders of the service, places of each one's scores: of 40 targets with
    # 4 places a part of 0.7 goes to all holders together.
    @params((1, 112), (4, 28))
    def test_holders_share_the_places(self, holders: int, places: int) -> None:
        """Nine holders took all places of a service six times over."""
        state = self.state('a')
        state.divisions_by_service[world.SERVICE] = partitions.Division(
            parts=holders, is_by_items=holders > 1
        )
        for number in range(39):
            state.targets.put(world.engine(f'more{number}'))
        state.table = routes.RouteTable(
            1, [world.batch_route()], [], routes.ClientLimits()
        )
        sender = Sender()
        scorer = scoring.Scorer(state, sender, self.clock)
        request = ScoreRequest(
            id=RequestId('r'), host='t.example', path='/train/1', body=b''
        )
        run = mock.Mock()
        run.item.score_request = request
        for _ in range(200):
            scoring_one = defer.Deferred.fromCoroutine(scorer.score(run))
            scoring_one.addErrback(lambda f: f.trap(defer.CancelledError))
            self.addCleanup(scoring_one.cancel)
        self.assertEqual(places, sender.calls)
