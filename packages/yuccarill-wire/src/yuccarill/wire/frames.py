"""Frame messages on a stream."""

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
    """Encode one envelope."""
    packed: bytes = msgpack.packb(
        msgspec.to_builtins(envelope, builtin_types=(bytes,))
    )
    return packed


class Decoder:
    """Cut a stream into envelopes."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        # A peer that never ends a frame would fill this process's memory;
        # the unpacker refuses to buffer past the limit.
        self._unpacker: Any = msgpack.Unpacker(
            max_buffer_size=max_bytes, raw=False
        )

    def feed(self, data: bytes) -> Iterator[messages.Envelope]:
        """Take received bytes and return the envelopes now whole.

        Raises FrameInvalid; the stream can't be used after that.
        """
        try:
            self._unpacker.feed(data)
            for plain in self._unpacker:
                yield msgspec.convert(plain, messages.Envelope)
        except (
            msgpack.UnpackException,
            msgspec.ValidationError,
            ValueError,
            TypeError,
        ) as error:
            raise errors.FrameInvalid(
                f'The peer sent a frame that is not valid: {error}'
            ) from error
