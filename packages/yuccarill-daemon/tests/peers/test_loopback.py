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


def resolve(deferred: defer.Deferred) -> object:
    """Run the reactor until a Deferred fires, and return its result.

    reactor.run() can be called only once per process, which other tests
    share.
    """
    results: list[object] = []
    deferred.addBoth(results.append)
    deadline = time.monotonic() + SECONDS
    while not results and time.monotonic() < deadline:
        reactor.iterate(0.01)
    return results[0] if results else None


class LoopbackTest(unittest.TestCase):
    def start(self, name: str) -> tuple[peers.Peers, object]:
        me = memory.instance(name, host='127.0.0.1')
        started = peers.Peers(memory.confirm, me, Incarnation(f'{name}-1'))
        listening = started.listen('127.0.0.1', 0)
        port = resolve(defer.ensureDeferred(listening))
        self.addCleanup(lambda: resolve(defer.ensureDeferred(started.close())))
        return started, memory.instance(name, '127.0.0.1', port.getHost().port)

    def test_request_and_reply(self) -> None:
        sender, _ = self.start('a')
        _, peer = self.start('b')
        sent = [
            defer.ensureDeferred(sender.request(peer, memory.BODY, SECONDS))
            for _ in range(3)
        ]
        found = resolve(defer.gatherResults(sent))
        self.assertEqual([messages.Done()] * 3, found)
        self.assertEqual(1, sender.stream_count)

    def test_large_frames_both_ways(self) -> None:
        # Frames larger than the socket buffer are split into many reads and
        # queue the small ones behind them.
        async def echo(body: messages.Body) -> messages.Body:
            return body

        sender, _ = self.start('a')
        receiver, peer = self.start('b')
        receiver._local.handle = echo
        large = messages.StepDelivery(body=bytes(8 * 1024 * 1024))
        sent = [
            defer.ensureDeferred(sender.request(peer, body, SECONDS))
            for body in (large, memory.BODY, large)
        ]
        found = resolve(defer.gatherResults(sent))
        self.assertEqual([large, memory.BODY, large], found)
