"""Test scores whose service has no capacity for them."""

from __future__ import annotations

from unittest import mock

from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.gateway import routes
from yuccarill.core.ids import ServiceName
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
