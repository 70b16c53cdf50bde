"""Encode messages to, and decode messages from, a byte stream."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgpack
import msgspec

from yuccarill.core import errors
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FRAME_BYTES = 16 * 1024 * 1024


def encode(envelope: messages.Envelope) -> bytes:
    packed: bytes = msgpack.packb(
        msgspec.to_builtins(envelope, builtin_types=(bytes,))
    )
    return packed


class Decoder:
    """Decode a byte stream to envelopes, incrementally."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_bytes = max_bytes
        self._unpacker: Any = None
        self._fed_bytes = 0

    @property
    def is_between_frames(self) -> bool:
        """Return whether no partial frame is buffered."""
        return self._unpacker is None

    def feed(self, data: bytes) -> Iterator[messages.Envelope]:
        """Add received bytes and yield the envelopes that are complete.

        Raises FrameInvalid; the decoder must not be used after that.
        """
        # An unpacker needs over 40 KB, so idle streams keep none: it exists
        # only while a partial frame is buffered.
        if self._unpacker is None:
            self._unpacker = self._new_unpacker()
            self._fed_bytes = 0
        decoded_bytes = 0
        try:
            self._unpacker.feed(data)
            self._fed_bytes += len(data)
            for unpacked in self._unpacker:
                decoded_bytes = self._unpacker.tell()
                yield msgspec.convert(unpacked, messages.Envelope)
        except (
            msgpack.UnpackException,
            msgspec.ValidationError,
            ValueError,
            TypeError,
        ) as error:
            raise errors.FrameInvalid(
                f'The peer sent an invalid frame: {error}'
            ) from error
        if decoded_bytes == self._fed_bytes:
            self._unpacker = None

    def _new_unpacker(self) -> Any:
        # The limit keeps a peer that never ends a frame from exhausting the
        # memory of this process.
        return msgpack.Unpacker(max_buffer_size=self._max_bytes, raw=False)
