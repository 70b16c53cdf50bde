"""Decode values that another process wrote."""

from __future__ import annotations

from typing import Annotated
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar('T')
# Largest value of `Integer`. Larger ones can be decoded but not encoded as
# MessagePack, and the largest cannot be converted to a float either.
MAX_INTEGER = (1 << 63) - 1
MAX_DIGITS = 18
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


def from_json(value: bytes, kind: type[T]) -> T:
    """Decode a JSON document.

    Raises MsgspecError for every value that cannot be decoded.
    """
    return _decode(lambda: msgspec.json.decode(value, type=kind))


def from_msgpack(value: bytes, kind: type[T]) -> T:
    """Decode a MessagePack document.

    Raises MsgspecError for every value that cannot be decoded.
    """
    return _decode(lambda: msgspec.msgpack.decode(value, type=kind))


def parse_decimal(text: str) -> int | None:
    """Return a number in ASCII digits, or None for any other text."""
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_DIGITS else None


def _decode(decode: Callable[[], T]) -> T:
    try:
        return decode()
    except (RecursionError, UnicodeDecodeError, OverflowError) as error:
        # msgspec raises these for documents that are nested too deeply and
        # for invalid text and numbers.
        raise msgspec.DecodeError(str(error)) from error
