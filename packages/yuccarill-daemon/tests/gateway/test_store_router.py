"""Test calls of the store while direct calls fail."""

from __future__ import annotations

import dataclasses
import random

from nose2.tools import params
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.store import direct_path
from yuccarill.daemon.gateway.store import store_router

from . import world

POST = http_exchange.OutgoingRequest(method='POST', target='/x')


@dataclasses.dataclass
class FakeConnections:
    """Answer calls to each address with a configured status or error."""

    clock: task.Clock
    statuses_by_address: dict[str, int | Exception]
    sent: list[str] = dataclasses.field(default_factory=list)

    async def exchange(
        self, address: str, request: object, deadline: Instant
    ) -> http_exchange.Reply:
        self.sent.append(address)
        await task.deferLater(self.clock, 0.004)
        status = self.statuses_by_address[address]
        if isinstance(status, Exception):
            raise status
        head = http_exchange.ReplyHead(status=status, headers=())
        return http_exchange.Reply(head=head, body=b'')


class StoreRouterTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.connections = FakeConnections(
            self.clock, {'store:3': 200, 'b:2': 200, 'c:2': 200}
        )
        state = self.state('a')
        for name in 'abc':
            world.list_instance(state, name)
        self.router = store_router.StoreRouter(
            state, self.connections, self.clock
        )

    def send(self) -> int:
        return self.finish(self.router.send(POST, 0.8)).head.status

    def test_calls_are_sent_directly(self) -> None:
        self.assertEqual(200, self.send())
        self.assertEqual(['store:3'], self.connections.sent)

    def test_a_peer_forwards_calls_while_direct_calls_fail(self) -> None:
        """Guard against a lost lease while only this instance is cut off."""
        error = http_exchange.ExchangeFailed('no answer')
        self.connections.statuses_by_address['store:3'] = error
        self.assertEqual(200, self.send())
        self.connections.sent.clear()
        self.assertEqual(200, self.send())
        self.assertNotIn('store:3', self.connections.sent)

    def test_a_refused_call_goes_through_a_peer(self) -> None:
        for status in (429, 503):
            self.connections.statuses_by_address['store:3'] = status
            self.assertEqual(200, self.send())

    def test_a_probe_restores_direct_calls(self) -> None:
        self.connections.statuses_by_address['store:3'] = 503
        self.send()
        self.connections.statuses_by_address['store:3'] = 200
        # A probe detects the recovery without another call.
        self.run_for(direct_path.PROBE_INTERVAL_SECONDS + 0.1)
        self.connections.sent.clear()
        self.send()
        self.assertEqual(['store:3'], self.connections.sent)

    def test_few_peers_are_tried_during_an_outage(self) -> None:
        # Refused calls are billed as well.
        error = http_exchange.NotConnected('unreachable')
        self.connections.statuses_by_address['store:3'] = error
        for peer in ('b:2', 'c:2'):
            self.connections.statuses_by_address[peer] = (
                store_router.STATUS_NOT_REACHED
            )
        for _ in range(10):
            with self.assertRaises(http_exchange.NotConnected):
                self.send()
        peers = [
            address
            for address in self.connections.sent
            if address != 'store:3'
        ]
        self.assertLessEqual(len(peers), 2)

    def test_a_call_is_sent_directly_if_no_peer_reaches_the_store(
        self,
    ) -> None:
        """Guard against failed calls between recovery and the next probe."""
        self.fail_everywhere()
        # The exclusion of peers ends.
        self.clock.advance(store_router.PEER_EXCLUDED_SECONDS + 0.1)
        self.connections.statuses_by_address['store:3'] = 200
        self.assertEqual(200, self.send())

    def fail_everywhere(self) -> None:
        error = http_exchange.NotConnected('unreachable')
        self.connections.statuses_by_address['store:3'] = error
        for peer in ('b:2', 'c:2'):
            self.connections.statuses_by_address[peer] = (
                store_router.STATUS_NOT_REACHED
            )
        with self.assertRaises(http_exchange.NotConnected):
            self.send()

    def pause(self, seconds: float) -> float:
        """Return the actual duration of a pause in seconds."""
        started_at = self.clock.seconds()
        self.finish(self.router.pause(seconds))
        return self.clock.seconds() - started_at

    def test_a_pause_ends_with_the_outage(self) -> None:
        """Guard against frequent billed retries during an outage."""
        self.fail_everywhere()
        self.clock.callLater(
            0.2,
            self.connections.statuses_by_address.__setitem__,
            'store:3',
            200,
        )
        elapsed = self.pause(0.05)
        self.assertGreater(elapsed, 0.2)
        self.assertLess(
            elapsed, 0.2 + direct_path.PROBE_INTERVAL_SECONDS + 0.1
        )

    def test_a_pause_is_bounded_if_probes_fail(self) -> None:
        # Peers may be tried again after their exclusion.
        self.fail_everywhere()
        elapsed = self.pause(0.05)
        self.assertLess(elapsed, store_router.PEER_EXCLUDED_SECONDS + 0.1)

    def test_a_pause_is_short_if_a_peer_may_reach_the_store(self) -> None:
        self.connections.statuses_by_address['store:3'] = (
            http_exchange.NotConnected('partitioned')
        )
        self.send()
        self.assertLess(self.pause(0.05), 0.1)

    def test_an_unclear_outcome_stays_unclear(self) -> None:
        # A write that a peer may have forwarded must not count as refused.
        error = http_exchange.NotConnected('partitioned')
        self.connections.statuses_by_address['store:3'] = error
        for peer in ('b:2', 'c:2'):
            self.connections.statuses_by_address[peer] = (
                store_router.STATUS_UNCLEAR
            )
        with self.assertRaises(http_exchange.ExchangeFailed):
            self.send()

    # Answers of the store and of both peers.
    @params(
        (store_router.STATUS_NOT_REACHED,) * 2,
        (http_exchange.NotConnected('refused'),) * 2,
        (503, 503),
        (429, store_router.STATUS_NOT_REACHED),
    )
    def test_a_call_without_an_answer_stays_unclear(
        self, first: int | Exception, second: int | Exception
    ) -> None:
        """Guard against a write that counts as refused and takes effect."""
        self.connections.statuses_by_address.update(
            {
                'store:3': http_exchange.ExchangeFailed('no answer'),
                'b:2': first,
                'c:2': second,
            }
        )
        with self.assertRaises(http_exchange.ExchangeFailed):
            self.send()

    def test_loss_of_direct_calls_is_reported_once(self) -> None:
        """Guard against a silent open watch while other calls use a peer."""
        lost_at: list[float] = []
        self.router.on_direct_path_failed = lambda: lost_at.append(
            self.clock.seconds()
        )
        self.connections.statuses_by_address['store:3'] = 503
        for _ in range(3):
            self.send()
        self.assertEqual(1, len(lost_at))

    def test_a_recovered_peer_forwards_calls_at_once(self) -> None:
        """Guard against an idle peer that rejects calls after its recovery."""
        self.connections.statuses_by_address['store:3'] = 503
        self.send()
        self.connections.statuses_by_address['store:3'] = 200
        self.run_for(direct_path.PROBE_INTERVAL_SECONDS + 0.1)
        page = self.finish(
            self.router.forward(
                small_server.SmallRequest(method='GET', target='/x')
            )
        )
        self.assertEqual(200, page.status)

    def test_a_forwarded_call_is_not_forwarded_again(self) -> None:
        # Two instances that are both cut off must not forward in a loop.
        self.connections.statuses_by_address['store:3'] = 503
        self.send()
        page = self.finish(
            self.router.forward(
                small_server.SmallRequest(method='GET', target='/x')
            )
        )
        self.assertEqual(store_router.STATUS_NOT_REACHED, page.status)


class PartitionTest(world.WorldTest):
    """Test a partition of a third of the instances, including this one."""

    SIZE = 40

    def setUp(self) -> None:
        super().setUp()
        state = self.fleet_state = self.state('n0')
        statuses: dict[str, int | Exception] = {
            'store:3': http_exchange.NotConnected('partitioned')
        }
        for number in range(self.SIZE):
            is_partitioned = number % 3 == 0
            name = f'n{number}'
            statuses[f'{name}:2'] = (
                store_router.STATUS_NOT_REACHED if is_partitioned else 200
            )
            world.list_instance(state, name)
        self.connections = FakeConnections(self.clock, statuses)
        self.router = store_router.StoreRouter(
            state, self.connections, self.clock
        )

    def failed_calls(self) -> int:
        """Return how many of a holder's calls fail in 36 s."""
        failed = 0
        for _ in range(60):
            try:
                self.finish(self.router.send(POST, 0.8))
            except http_exchange.NotConnected:
                failed += 1
            self.run_for(0.6)
        return failed

    # Seeds with which the first four chosen peers are cut off as well.
    @params(73, 76, 191, 238, 391, 429, 494, 544)
    def test_the_first_peers_are_cut_off_too(self, seed: int) -> None:
        """Guard against a partition that is mistaken for a store outage."""
        self.fleet_state.generator = random.Random(f'{seed}/1')
        self.assertEqual(0, self.failed_calls())

    def test_a_holder_keeps_its_lease(self) -> None:
        """Guard against a lost lease when the chosen peers are cut off too."""
        self.assertEqual(0, self.failed_calls())

    def test_the_peer_that_reached_the_store_is_preferred(self) -> None:
        self.finish(self.router.send(POST, 0.8))
        self.connections.sent.clear()
        for _ in range(20):
            self.finish(self.router.send(POST, 0.8))
        peers = {
            address
            for address in self.connections.sent
            if address != 'store:3'
        }
        self.assertEqual(1, len(peers))

    def test_few_of_many_peers_are_tried_during_an_outage(self) -> None:
        # Calls are billed, so not every peer may be tried.
        for address in self.connections.statuses_by_address:
            self.connections.statuses_by_address[address] = (
                store_router.STATUS_NOT_REACHED
            )
        self.connections.statuses_by_address['store:3'] = (
            http_exchange.NotConnected('unreachable')
        )
        for _ in range(10):
            with self.assertRaises(http_exchange.NotConnected):
                self.finish(self.router.send(POST, 0.8))
        peers = [
            address
            for address in self.connections.sent
            if address != 'store:3'
        ]
        self.assertLessEqual(len(peers), store_router.MAX_EXCLUDED_PEERS)
