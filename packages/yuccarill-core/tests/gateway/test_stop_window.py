"""Test which requests a stopping instance still takes."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import requests
from yuccarill.core.gateway import routes
from yuccarill.core.gateway.routes import RouteKind
from yuccarill.core.gateway import stop_window
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId

WINDOW = stop_window.stop_window(Instant(100.0), Instant(107.0))


def route(kind: RouteKind, timeout: float) -> routes.Route:
    return routes.Route(
        name='r',
        host='a.example',
        prefix='/x/',
        kind=kind,
        shares=(),
        timeout=timeout,
        objective=0.2,
        max_attempts=2,
        priority=1,
    )


def request(
    arrived_at: float, seconds: float | None
) -> requests.ClientRequest:
    deadline = None if seconds is None else Instant(arrived_at + seconds)
    return requests.ClientRequest(
        id=RequestId('r'),
        method='POST',
        host='a.example',
        path='/x/',
        target='/x/',
        headers=(),
        body=b'',
        arrived_at=Instant(arrived_at),
        deadline=deadline,
    )


class StopWindowTest(unittest.TestCase):
    """Guard against requests that a stop cuts after they were passed on."""

    # Kind, route's timeout, client's deadline, seconds after the stop began.
    @params(
        (RouteKind.STREAM, 1.0, 12.0, 2.4, True),
        (RouteKind.STREAM, 1.0, 12.0, 2.6, False),
        (RouteKind.STREAM, 1.0, None, 2.6, False),
        (RouteKind.STREAM, 10.0, 2.0, 4.9, True),
        (RouteKind.STREAM, 10.0, 2.0, 5.1, False),
        (RouteKind.IDEMPOTENT, 1.5, 9.0, 5.4, True),
        (RouteKind.IDEMPOTENT, 1.5, 9.0, 5.6, False),
        (RouteKind.IDEMPOTENT, 9.0, 1.5, 5.4, True),
        (RouteKind.AT_MOST_ONCE, 3.0, None, 3.9, True),
        (RouteKind.AT_MOST_ONCE, 3.0, None, 4.1, False),
        (RouteKind.BATCH, 10.0, None, 6.0, True),
    )
    def test_requests_that_may_not_end_are_refused(
        self,
        kind: RouteKind,
        timeout: float,
        seconds: float | None,
        after: float,
        expected: bool,
    ) -> None:
        now = 100.0 + after
        found = WINDOW.can_take(
            route(kind, timeout), request(now, seconds), Instant(now)
        )
        self.assertIs(expected, found)
