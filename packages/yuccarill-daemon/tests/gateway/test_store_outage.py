"""Test how many billed calls instances make during an outage of the store."""

from __future__ import annotations

import msgspec
from twisted.internet import defer

from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.store import store_router

from . import test_store_router
from . import world


class RefusedPeerTest(world.WorldTest):
    def test_a_refused_peer_calls_the_store_once(self) -> None:
        """Guard against a refused, billed call for each request of a peer."""
        connections = test_store_router.FakeConnections(
            self.clock, {'store:3': 503}
        )
        router = store_router.StoreRouter(
            self.state('a'), connections, self.clock
        )
        request = small_server.SmallRequest(method='GET', target='/x')
        for _ in range(2):
            page = self.finish(router.forward(request))
            self.assertEqual(store_router.STATUS_NOT_REACHED, page.status)
        self.assertEqual(1, len(connections.sent))


class BackgroundTest(world.WorldTest):
    """No instance reaches the store, and refused calls are billed.

    The tested instance is not a watcher.
    """

    SIZE = 40

    def setUp(self) -> None:
        super().setUp()
        state = self.state('n0')
        state.settings = msgspec.structs.replace(state.settings, cores=0.1)
        statuses: dict[str, int | Exception] = {'store:3': 503}
        for number in range(1, self.SIZE):
            world.list_instance(state, f'n{number}')
            statuses[f'n{number}:2'] = store_router.STATUS_NOT_REACHED
        self.connections = test_store_router.FakeConnections(
            self.clock, statuses
        )
        self.router = store_router.StoreRouter(
            state, self.connections, self.clock
        )

    def billed_calls(self) -> int:
        return self.connections.sent.count('store:3')

    def send_four(self) -> list[defer.Deferred[object]]:
        found = [
            defer.Deferred.fromCoroutine(
                self.router.send_in_background(test_store_router.POST, 0.8)
            )
            for _ in range(4)
        ]
        for each in found:
            each.addErrback(lambda f: f.trap(http_exchange.NotConnected))
        return found

    def test_one_call_detects_the_outage_for_all(self) -> None:
        """Guard against concurrent billed calls at the start of an outage."""
        self.send_four()
        self.run_for(0.5)
        self.assertEqual(1, self.billed_calls())

    def test_calls_are_not_delayed_if_the_store_answers(self) -> None:
        self.connections.statuses_by_address['store:3'] = 200
        self.send_four()
        self.run_for(0.02)
        self.assertEqual(4, self.billed_calls())

    def test_probes_are_rare_without_a_waiting_caller(self) -> None:
        """Guard against many billed probes by idle instances."""
        self.send_four()
        self.run_for(10.0)
        self.assertLessEqual(self.billed_calls(), 6)

    def test_probes_are_frequent_with_a_waiting_caller(self) -> None:
        with self.assertRaises(http_exchange.NotConnected):
            self.finish(self.router.send(test_store_router.POST, 0.8))
        self.run_for(2.0)
        self.assertGreaterEqual(self.billed_calls(), 3)

    def test_a_recovered_watcher_triggers_a_probe(self) -> None:
        """Guard against instances that register late after an outage."""
        self.send_four()
        self.run_for(8.0)
        self.connections.statuses_by_address['store:3'] = 200
        self.router.probe_now()
        self.run_for(0.02)
        found = self.finish(
            self.router.send_in_background(test_store_router.POST, 0.8)
        )
        self.assertEqual(200, found.head.status)
