"""Test encoding and decoding of messages on a stream."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies

from yuccarill.core.dissemination.record import Record
from yuccarill.core import errors
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.member import Member
from yuccarill.core.membership.member import MemberState
from yuccarill.wire import frames
from yuccarill.wire import messages

ENVELOPE = messages.Envelope(
    7,
    False,
    messages.RecordOffer(records=(Record('k', 1, b'\x00\xff'),)),
)


class FramesTest(unittest.TestCase):
    def test_decodes_across_any_split(self) -> None:
        data = frames.encode(ENVELOPE) * 2
        for cut in range(len(data)):
            decoder = frames.Decoder()
            found = [*decoder.feed(data[:cut]), *decoder.feed(data[cut:])]
            self.assertEqual([ENVELOPE, ENVELOPE], found)
            self.assertTrue(decoder.is_between_frames)

    def test_keeps_a_buffer_only_within_a_frame(self) -> None:
        # Guards against idle streams that keep a buffer of 40 KB each.
        data = frames.encode(ENVELOPE)
        for cut in range(1, len(data)):
            decoder = frames.Decoder()
            list(decoder.feed(data + data[:cut]))
            self.assertFalse(decoder.is_between_frames)

    def test_refuses_an_over_long_frame(self) -> None:
        # Guards against memory exhaustion by a peer that never ends a frame.
        decoder = frames.Decoder(max_bytes=64)
        with self.assertRaises(errors.FrameInvalid):
            for _ in range(10):
                list(decoder.feed(b'\xc6\x00\xff\xff\xff' + b'x' * 16))

    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @given(strategies.binary(max_size=64))
    def test_garbage_raises_only_frame_invalid(self, data: bytes) -> None:
        try:
            list(frames.Decoder().feed(data))
        except errors.FrameInvalid:
            pass

    def test_nested_records_round_trip(self) -> None:
        member = Member(
            id=InstanceId('i'),
            data_centre=DataCentreId('a'),
            host='127.0.0.1',
            http_port=1,
            peer_port=2,
            incarnation=Incarnation('x'),
            version=3,
            state=MemberState.LEAVING,
        )
        body = messages.IndirectProbe(target=member)
        data = frames.encode(messages.Envelope(1, True, body))
        self.assertEqual(body, next(frames.Decoder().feed(data)).body)
