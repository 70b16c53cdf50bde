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
        self._max_bytes = max_bytes
        self._unpacker: Any = None
        self._fed_bytes = 0

    @property
    def is_between_frames(self) -> bool:
        """Tell whether no part of a frame waits for its rest."""
        return self._unpacker is None

    def feed(self, data: bytes) -> Iterator[messages.Envelope]:
        """Take received bytes and return the envelopes now whole.

        Raises FrameInvalid; the stream can't be used after that.
        """
        # An unpacker takes over 40 KB. Most streams are quiet most of the
        # time, and an instance has a hundred: only those in the middle of
        # a frame keep theirs.
        if self._unpacker is None:
            self._unpacker = self._new_unpacker()
            self._fed_bytes = 0
        ends_at = 0
        try:
            self._unpacker.feed(data)
            self._fed_bytes += len(data)
            for plain in self._unpacker:
                ends_at = self._unpacker.tell()
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
        if ends_at == self._fed_bytes:
            self._unpacker = None

    def _new_unpacker(self) -> Any:
        # A peer that never ends a frame would fill this process's memory;
        # the unpacker refuses to buffer past the limit.
        return msgpack.Unpacker(max_buffer_size=self._max_bytes, raw=False)
