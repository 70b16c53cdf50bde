"""Test fetching a step's bytes from the instance that holds them."""

from __future__ import annotations

from typing import Any
import unittest
from unittest import mock

from nose2.tools import params
from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.daemon.controllers import step_routing
from yuccarill.wire import frames
from yuccarill.wire import messages

TRAINER = TrainerId('t')
STEP = StepNumber(1)


class _Holder:
    def __init__(self, body: bytes) -> None:
        self._body = body

    async def fetch(self, trainer: TrainerId, step: StepNumber) -> bytes:
        return self._body


class _Peers:
    """Send requests to the holder in frames, as streams do."""

    def __init__(self, holder: step_routing.StepRouting) -> None:
        self._holder = holder
        self.replies_left = 1 << 30

    async def request(self, peer: Any, body: Any, seconds: float) -> Any:
        if not self.replies_left:
            raise errors.PeerUnavailable('The stream was lost.')
        self.replies_left -= 1
        reply = await self._holder.handle_here(body)
        sent = frames.encode(messages.Envelope(1, True, reply))
        (received,) = frames.Decoder().feed(sent)
        return received.body


class HolderClientTest(unittest.TestCase):
    def _ask(self, body: bytes, replies: int) -> Any:
        holder = step_routing.StepRouting(
            mock.Mock(spec_set=[]),
            mock.Mock(spec_set=[]),
            _Holder(body),
            mock.Mock(spec_set=[]),
        )
        peers = _Peers(holder)
        peers.replies_left = replies
        blackboard = mock.Mock(instances_by_id={'b': 'b'}, spec=[])
        client = step_routing.HolderClient(blackboard, peers)
        outcome: list[Any] = []
        reply = client.fetch(InstanceId('b'), TRAINER, STEP)
        defer.ensureDeferred(reply).addBoth(outcome.append)
        return outcome[0]

    @params(0, 1, step_routing.PART_BYTES, 5 * step_routing.PART_BYTES + 3)
    def test_longer_than_a_frame(self, size: int) -> None:
        # Guards against sending a step in one oversized frame, which would
        # close the stream on each fetch.
        body = bytes(range(256)) * (size // 256) + b'x' * (size % 256)
        self.assertEqual(body, self._ask(body, 1 << 30))

    @params(0, 1, 2)
    def test_holder_lost_between_parts(self, replies: int) -> None:
        body = b'x' * (3 * step_routing.PART_BYTES)
        failure = self._ask(body, replies)
        self.assertIsInstance(failure.value, errors.SamplesLost)
