"""Test how a request finds its route."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from yuccarill.core.gateway import routes
from yuccarill.core.ids import ServiceName


def route(name: str, host: str, prefix: str, **more: object) -> routes.Route:
    """Return a route with default fields."""
    fields: dict = {
        'kind': routes.RouteKind.IDEMPOTENT,
        'shares': (routes.Share(ServiceName('app'), 1.0),),
        'timeout': 1.0,
        'objective': 0.15,
        **more,
    }
    return routes.Route(name=name, host=host, prefix=prefix, **fields)


TABLE = routes.RouteTable(
    1,
    [
        route('short', 'a.example', '/x/'),
        route('long', 'a.example', '/x/y/'),
        route('other', 'b.example', '/x/'),
    ],
    [],
    routes.ClientLimits(),
)


class FindTest(unittest.TestCase):
    @params(
        ('a.example', '/x/1', 'short'),
        ('a.example', '/x/y/1', 'long'),
        ('a.example', '/x/y', 'short'),
        ('A.Example:8080', '/x/1', 'short'),
        ('b.example', '/x/y/1', 'other'),
        ('a.example', '/z/', None),
        ('c.example', '/x/1', None),
        ('', '/x/1', None),
    )
    def test_longest_prefix_of_the_host_wins(
        self, host: str, path: str, expected: str | None
    ) -> None:
        found = TABLE.find(host, path)
        self.assertEqual(expected, found and found.name)


class ShareTest(unittest.TestCase):
    def test_services_are_drawn_by_weight(self) -> None:
        split = route(
            'r',
            'h',
            '/',
            shares=(
                routes.Share(ServiceName('much'), 90.0),
                routes.Share(ServiceName('little'), 10.0),
                routes.Share(ServiceName('none'), 0.0),
            ),
        )
        generator = random.Random(1)
        drawn = [split.choose_service(generator) for _ in range(1000)]
        self.assertNotIn('none', drawn)
        self.assertTrue(50 < drawn.count(ServiceName('little')) < 150)
        self.assertEqual(('much', 'little'), split.services)

    def test_a_route_without_shares_has_no_service(self) -> None:
        none = route('r', 'h', '/', shares=())
        self.assertIsNone(none.choose_service(random.Random(1)))
