"""Test streams over real sockets on loopback."""

from __future__ import annotations

import time
import unittest

from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.core.ids import Incarnation
from yuccarill.daemon.peers import peers
from yuccarill.wire import messages

from . import memory

SECONDS = 5.0


def turn(deferred: defer.Deferred) -> object:
    """Run the reactor by hand until a result is there.

    reactor.run() can be called once a process only, and other tests share
    the process.
    """
    results: list[object] = []
    deferred.addBoth(results.append)
    given_up_at = time.monotonic() + SECONDS
    while not results and time.monotonic() < given_up_at:
        reactor.iterate(0.01)
    return results[0] if results else None


class LoopbackTest(unittest.TestCase):
    def start(self, name: str) -> tuple[peers.Peers, object]:
        me = memory.instance(name, host='127.0.0.1')
        started = peers.Peers(memory.confirm, me, Incarnation(f'{name}-1'))
        listening = started.listen('127.0.0.1', 0)
        port = turn(defer.ensureDeferred(listening))
        self.addCleanup(lambda: turn(defer.ensureDeferred(started.close())))
        return started, memory.instance(name, '127.0.0.1', port.getHost().port)

    def test_request_and_reply(self) -> None:
        sender, _ = self.start('a')
        _, peer = self.start('b')
        sent = [
            defer.ensureDeferred(sender.request(peer, memory.ASK, SECONDS))
            for _ in range(3)
        ]
        found = turn(defer.gatherResults(sent))
        self.assertEqual([messages.Done()] * 3, found)
        self.assertEqual(1, sender.stream_count)

    def test_large_frames_both_ways(self) -> None:
        # The frame is longer than what the socket takes at once: it is cut
        # into many reads, and small ones behind it wait for their turn.
        async def echo(body: messages.Body) -> messages.Body:
            return body

        sender, _ = self.start('a')
        receiver, peer = self.start('b')
        receiver._local.handle = echo
        large = messages.StepDelivery(body=bytes(8 * 1024 * 1024))
        sent = [
            defer.ensureDeferred(sender.request(peer, body, SECONDS))
            for body in (large, memory.ASK, large)
        ]
        found = turn(defer.gatherResults(sent))
        self.assertEqual([large, memory.ASK, large], found)
