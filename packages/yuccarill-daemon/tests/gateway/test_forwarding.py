"""Test what a stopping instance does with requests."""

from __future__ import annotations

from unittest import mock

import msgspec
from nose2.tools import params

from yuccarill.core import errors
from yuccarill.core.gateway import requests
from yuccarill.core.gateway import routes
from yuccarill.core.gateway.routes import RouteKind
from yuccarill.core.gateway import stop_window
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.jobs.job import JobId
from yuccarill.daemon.gateway.requests import forwarding
from yuccarill.daemon.gateway.requests import front
from yuccarill.platform import ports

from . import world


def route(kind: RouteKind) -> routes.Route:
    return msgspec.structs.replace(world.batch_route(), kind=kind)


class StoppingTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.found = self.state('a')
        self.served: list[str] = []
        self.forwarder = forwarding.Forwarder(
            self.found,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(serve=self.serve),
            mock.Mock(submit=self.submit),
            mock.Mock(admit=self.admit),
            mock.Mock(),
            self.clock,
        )

    async def admit(self, _: object, request: object) -> object:
        return request

    async def serve(self, *_: object) -> str:
        self.served.append('served')
        return 'status 200'

    async def submit(self, *_: object) -> requests.TargetAnswer:
        self.served.append('served')
        return requests.TargetAnswer(
            status=202, headers=(), body=b'', signature=None
        )

    def forward(self, kind: RouteKind) -> None:
        self.found.route_table = routes.RouteTable(
            1, [route(kind)], [], routes.ClientLimits()
        )
        now = Instant(self.clock.seconds())
        request = requests.ClientRequest(
            id=RequestId('r'),
            method='POST',
            host='t.example',
            path='/train/1',
            target='/train/1',
            headers=(),
            body=b'',
            arrived_at=now,
            deadline=Instant(now + 12.0),
        )
        self.finish(self.forwarder.forward(request, mock.Mock()))

    def stop(self) -> None:
        now = Instant(self.clock.seconds())
        self.found.is_leaving = True
        self.found.stop_window = stop_window.stop_window(
            now, Instant(now + 7.0)
        )

    @params(RouteKind.STREAM, RouteKind.AT_MOST_ONCE, RouteKind.IDEMPOTENT)
    def test_a_late_request_is_refused_at_once(self, kind: RouteKind) -> None:
        """Guard against a request that is passed on and cut by the stop."""
        self.stop()
        self.run_for(3.2)
        with self.assertRaises(errors.NotRun) as caught:
            self.forward(kind)
        self.assertEqual([], self.served)
        self.assertLess(caught.exception.retry_after, 0.1)

    @params((RouteKind.STREAM, 2.0), (RouteKind.BATCH, 6.0))
    def test_a_request_that_is_likely_to_end_is_served(
        self, kind: RouteKind, seconds: float
    ) -> None:
        self.stop()
        self.run_for(seconds)
        self.forward(kind)
        self.assertEqual(['served'], self.served)

    @params((False, 1.0), (True, 0.0))
    def test_a_reader_does_not_wait_for_results(
        self, is_stopping: bool, expected: float
    ) -> None:
        """Guard against a read that the stop cuts."""
        calls: list[ports.TrainerCall] = []

        async def serve(call: ports.TrainerCall, _: object) -> None:
            calls.append(call)

        if is_stopping:
            self.stop()
        gateway = front.Front(
            self.found,
            self.forwarder,
            mock.Mock(serve=serve),
            mock.Mock(admit_job_call=mock.AsyncMock()),
            lambda: 0.0,
        )
        query = ports.ResultsQuery(job=JobId('j'), first=0, wait=1.0)
        self.finish(gateway.trainer_call(query, mock.Mock()))
        self.assertEqual([expected], [call.wait for call in calls])
