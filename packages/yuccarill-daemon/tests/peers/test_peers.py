"""Test streams between instances over in-memory transports."""

from __future__ import annotations

import unittest

from nose2.tools import params
from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.ids import InstanceId
from yuccarill.daemon.peers import ends
from yuccarill.daemon.peers import peers
from yuccarill.daemon.peers import stream
from yuccarill.wire import messages

from . import memory

DONE = messages.Done()


async def never(body: messages.Body) -> messages.Body:
    return await defer.Deferred()


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = memory.Network()
        self.network.add('a')

    def ends_at(self, name: str) -> dict[ends.StreamEnd, int]:
        found = self.network.peers_by_id[InstanceId(name)].ends_by_cause
        return dict(found)

    def test_two_first_requests_share_one_connection(self) -> None:
        # Guard against a stream for each concurrent first request: all but the
        # last would stay open unused until the idle timeout.
        peer = self.network.add('b')
        outcomes = [self.network.request('a', peer) for _ in range(3)]
        self.network.pump()
        self.assertEqual([[DONE]] * 3, outcomes)
        self.assertEqual(1, self.network.dials)

    def test_bytes_of_both_sides_agree(self) -> None:
        peer = self.network.add('b')
        self.network.request('a', peer)
        self.network.pump()
        here = self.network.peers_by_id[InstanceId('a')].traffic
        there = self.network.peers_by_id[InstanceId('b')].traffic
        self.assertGreater(here.sent, 0)
        self.assertEqual(here.sent, there.received)
        self.assertEqual(there.sent, here.received)

    def test_silent_stream_is_found_and_replaced(self) -> None:
        # Guard against a half-open connection: a pending request must fail in
        # seconds and the next one must use a new stream.
        peer = self.network.add('b', never)
        outcome = self.network.request('a', peer)
        self.network.pump()
        self.network.pass_time(30.0)
        self.assertEqual([], outcome, 'a slow reply is not a silent stream')
        self.network.pairs[0].is_silent = True
        self.network.pass_time(4.0)
        self.assertIsInstance(outcome[0], errors.PeerUnavailable)
        self.assertEqual(1, self.ends_at('a')[ends.StreamEnd.SILENT])
        self.network.request('a', peer)
        self.network.pump()
        self.assertEqual(2, self.network.dials)

    def test_own_pause_is_not_the_peers_silence(self) -> None:
        # After a pause of the process, the check runs before the sockets are
        # read; no stream may be closed as silent.
        peer = self.network.add('b', never)
        outcome = self.network.request('a', peer)
        self.network.pump()
        self.network.clock.advance(1.0)
        self.network.peers_by_id[InstanceId('a')].check()
        self.network.clock.advance(10.0)
        for each in self.network.peers_by_id.values():
            each.check()
        self.network.pump()
        self.network.pass_time(10.0)
        self.assertEqual(([], {}), (outcome, self.ends_at('a')))

    def test_wrong_addressee_gets_no_request(self) -> None:
        # Instance c has reused the address of b: a request for b must not
        # reach it.
        self.network.add('c')
        outcome = self.network.request('a', memory.instance('b', host='c'))
        self.network.pump()
        self.assertIsInstance(outcome[0], errors.NotRun)
        for name in 'ac':
            found = self.ends_at(name)
            self.assertEqual(1, found[ends.StreamEnd.WRONG_ADDRESSEE], name)

    def test_refused_dials_back_off_with_bounds(self) -> None:
        # Guard against a connection attempt per request while a peer is down.
        peer = self.network.add('b')
        self.network.is_refusing = True
        outcomes = []
        for _ in range(1000):
            outcomes += self.network.request('a', peer)
            self.network.clock.advance(0.01)
        self.assertEqual({errors.NotRun}, {type(o) for o in outcomes})
        self.assertTrue(5 <= self.network.dials <= 20, self.network.dials)
        self.network.is_refusing = False
        self.network.clock.advance(2.0)
        outcome = self.network.request('a', peer)
        self.network.pump()
        self.assertEqual([DONE], outcome)

    def test_lost_stream_tells_sent_from_unsent(self) -> None:
        # The first request is sent and the second is queued when the stream is
        # lost: only the first may have been received.
        peer = self.network.add('b', never)
        first = self.network.request('a', peer)
        self.network.pump()
        pair = self.network.pairs[0]
        pair.ends[0][1].producer.pauseProducing()
        second = self.network.request('a', peer)
        pair.lose()
        self.assertIsInstance(first[0], errors.PeerUnavailable)
        self.assertIsInstance(second[0], errors.NotRun)

    def test_queued_frames_are_bounded_and_sent_in_order(self) -> None:
        sender = self.network.peers_by_id[InstanceId('a')]
        peer = self.network.add('b')
        self.network.request('a', peer)
        self.network.pump()
        pair = self.network.pairs[0]
        pair.ends[0][1].producer.pauseProducing()
        body = messages.StepDelivery(body=bytes(12 * 1024 * 1024))
        outcomes: list[object] = []
        for _ in range(3):
            sent = defer.ensureDeferred(sender.request(peer, body, 60.0))
            sent.addBoth(outcomes.append)
        self.assertEqual(errors.Overloaded, outcomes[0].type)
        pair.ends[0][1].producer.resumeProducing()
        self.network.pump()
        self.assertEqual([DONE, DONE], outcomes[1:])

    @params(
        ('garbage', b'\xc1garbage', ends.StreamEnd.INVALID_FRAME),
        ('http', b'GET / HTTP/1.1\r\n\r\n', ends.StreamEnd.INVALID_FRAME),
        ('no hello', b'\x93\x01\xc2\x81\xa4kind\xa4done', 'invalid'),
        ('long', b'\xc6\x00\xff\xff\xff' + bytes(5000), 'invalid'),
        ('nothing', b'', ends.StreamEnd.NO_HELLO),
    )
    def test_only_the_stream_of_a_stranger_is_closed(
        self, name, data, end
    ) -> None:
        # A stream from a client that is not a peer is closed and counted;
        # other streams stay open.
        peer = self.network.add('b')
        self.network.request('a', peer)
        self.network.pump()
        invalid_stream = self.network.peers_by_id[peer.id].accept()
        transport = memory.Transport()
        invalid_stream.makeConnection(transport)
        invalid_stream.dataReceived(data)
        self.network.pass_time(3.0)
        self.assertTrue(transport.disconnecting, name)
        invalid_stream.connectionLost(None)
        if end == 'invalid':
            end = ends.StreamEnd.INVALID_FRAME
        self.assertEqual({end: 1}, self.ends_at('b'))
        outcome = self.network.request('a', peer)
        self.network.pump()
        self.assertEqual(([DONE], 1), (outcome, self.network.dials))

    def test_streams_have_a_limit(self) -> None:
        accepting = self.network.peers_by_id[InstanceId('a')]
        for _ in range(peers.MAX_STREAMS):
            accepting.accept().makeConnection(memory.Transport())
        self.assertIsNone(accepting.accept())
        self.assertEqual({ends.StreamEnd.TOO_MANY: 1}, self.ends_at('a'))

    def test_requests_in_flight_have_a_limit(self) -> None:
        peer = self.network.add('b', never)
        outcomes = [
            self.network.request('a', peer)
            for _ in range(stream.MAX_IN_FLIGHT + 1)
        ]
        self.network.pump()
        refused = [type(found[0]) for found in outcomes if found]
        self.assertEqual([errors.Overloaded], refused)

    def test_unused_stream_is_closed(self) -> None:
        peer = self.network.add('b')
        self.network.request('a', peer)
        self.network.pump()
        self.network.pass_time(peers.IDLE_SECONDS + 1.0)
        self.assertEqual(0, self.network.peers_by_id[peer.id].stream_count)
