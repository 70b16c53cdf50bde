"""Test what an outage of the store costs in calls of it.

The pattern is that of a large fleet whose store is away for some seconds:
each instance follows three prefixes and keeps a lease, and each refused call
is paid for in full. On 165 instances 5,166 of 7,042 calls of a day were
refused, by a log of each call.
"""

from __future__ import annotations

import msgspec
from twisted.internet import defer

from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.store import store_way

from . import test_store_way
from . import world


class TurnedAwayPeerTest(world.WorldTest):
    def test_a_peer_that_is_turned_away_is_asked_once(self) -> None:
        """Peers that had not noticed an outage made refused calls for others.

        1. The store turns this instance away, which it does not know yet.
        2. Two others ask it to pass a call on.
        """
        links = test_store_way.Links(self.clock, {'store:3': 503})
        way = store_way.StoreWay(self.state('a'), links, self.clock)
        request = small_server.SmallRequest(method='GET', target='/x')
        for _ in range(2):
            page = self.finish(way.pass_on(request))
            self.assertEqual(store_way.STATUS_NOT_REACHED, page.status)
        self.assertEqual(1, len(links.sent))


class BackgroundTest(world.WorldTest):
    """The store is away from a fleet of 40; refused calls are paid in full.

    This instance is none of those that watch the store for the others.
    """

    SIZE = 40

    def setUp(self) -> None:
        super().setUp()
        state = self.state('n0')
        state.settings = msgspec.structs.replace(state.settings, cores=0.1)
        statuses: dict[str, int | Exception] = {'store:3': 503}
        for number in range(1, self.SIZE):
            world.list_instance(state, f'n{number}')
            statuses[f'n{number}:2'] = store_way.STATUS_NOT_REACHED
        self.links = test_store_way.Links(self.clock, statuses)
        self.way = store_way.StoreWay(state, self.links, self.clock)

    def paid(self) -> int:
        return self.links.sent.count('store:3')

    def send_four(self) -> list[defer.Deferred[object]]:
        found = [
            defer.Deferred.fromCoroutine(
                self.way.send_in_background(test_store_way.POST, 0.8)
            )
            for _ in range(4)
        ]
        for each in found:
            each.addErrback(lambda f: f.trap(http_exchange.NotConnected))
        return found

    def test_one_call_finds_out_for_all(self) -> None:
        """Each instance made four calls in the moment of an outage.

        1. Three reads and a renewal of one instance are due at once.
        2. The first one is refused; the others need not be.
        """
        self.send_four()
        self.run_for(0.5)
        self.assertEqual(1, self.paid())

    def test_calls_go_on_at_once_where_the_store_answers(self) -> None:
        self.links.statuses_by_address['store:3'] = 200
        self.send_four()
        self.run_for(0.02)
        self.assertEqual(4, self.paid())

    def test_an_instance_that_nobody_waits_for_hardly_probes(self) -> None:
        """A fleet of 165 made 2,146 probes in a minute with two outages."""
        self.send_four()
        self.run_for(10.0)
        self.assertLessEqual(self.paid(), 6)

    def test_one_that_is_waited_for_probes_often(self) -> None:
        with self.assertRaises(http_exchange.NotConnected):
            self.finish(self.way.send(test_store_way.POST, 0.8))
        self.run_for(2.0)
        self.assertGreaterEqual(self.paid(), 3)

    def test_a_watcher_that_is_back_shows_the_return(self) -> None:
        """Instances were missing from the directory after an outage.

        1. Probes of an instance have become rare.
        2. The store is back; a watcher notices and answers its readers.
        3. The instance probes at once, and registers again.
        """
        self.send_four()
        self.run_for(8.0)
        self.links.statuses_by_address['store:3'] = 200
        self.way.expect_return()
        self.run_for(0.02)
        found = self.finish(
            self.way.send_in_background(test_store_way.POST, 0.8)
        )
        self.assertEqual(200, found.head.status)
