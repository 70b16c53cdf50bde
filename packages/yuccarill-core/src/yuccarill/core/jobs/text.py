"""Assemble the text of one item from the events of several runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Iterable


# Bytes of a text; a longer one fits into no value of the store.
MAX_TEXT_BYTES = 900_000
# Added for each event, since an engine can send empty events without end.
EVENT_BYTES = 32


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one event of an engine's stream."""

    # Counts from 1 within an item, None if the engine sent no number.
    number: int | None
    data: str
    # Set if the engine changed its weights before this event.
    version: WeightVersion | None = None
    # The encoded event, to be forwarded unchanged.
    raw: bytes = b''


class TextSequenceError(Exception):
    """Report an event that does not continue the text."""


class TextTooLong(TextSequenceError):
    """Report a text that an engine continues beyond its maximum length."""


class ItemText:
    """Collect an item's events in order.

    An interrupted run is resumed by another one after the last complete event,
    so no event may be missing or repeated.
    """

    def __init__(self) -> None:
        self._parts: list[str] = []
        self._bytes = 0
        self._versions: set[WeightVersion] = set()
        self._current_version: WeightVersion | None = None
        # Set once an engine has sent the last event.
        self.is_whole = False

    @classmethod
    def restore(
        cls,
        parts: Iterable[str],
        versions: Iterable[WeightVersion],
        is_whole: bool,
    ) -> ItemText:
        """Return the text of an earlier run."""
        text = cls()
        text._parts = list(parts)
        text._bytes = sum(map(_size, text._parts))
        text._versions = set(versions)
        text.is_whole = is_whole
        return text

    @property
    def parts(self) -> tuple[str, ...]:
        return tuple(self._parts)

    @property
    def events(self) -> int:
        """Return the number of events, after which a resumed run starts."""
        return len(self._parts)

    @property
    def versions(self) -> tuple[WeightVersion, ...]:
        return tuple(sorted(self._versions))

    @property
    def text(self) -> str:
        return '\n'.join(self._parts)

    def begin_run(self, version: WeightVersion | None) -> None:
        """Set the weight version that the engine reports at a run's start."""
        self._current_version = version

    def add_event(self, event: StreamEvent) -> None:
        """Append one event.

        Raises TextSequenceError if the event is out of order or has no known
        version, TextTooLong if the text is too long.
        """
        if event.version is not None:
            self._current_version = event.version
        if event.number != self.events + 1:
            raise TextSequenceError(
                f'Event {event.number} does not follow event {self.events}.'
            )
        # A guess from the last requested weight change could attribute the
        # text to weights that did not generate it.
        if self._current_version is None:
            raise TextSequenceError('The engine reports no weight version.')
        size = self._bytes + _size(event.data)
        if size > MAX_TEXT_BYTES:
            raise TextTooLong(f'The text is longer than {MAX_TEXT_BYTES}.')
        self._bytes = size
        self._parts.append(event.data)
        self._versions.add(self._current_version)

    def fits(self, min_version: WeightVersion, is_single: bool) -> bool:
        """Return whether the text has only versions that a job accepts."""
        if is_single and len(self._versions) > 1:
            return False
        return all(version >= min_version for version in self._versions)

    def clear(self) -> None:
        """Discard the text, so that the next run starts over."""
        self._parts.clear()
        self._bytes = 0
        self._versions.clear()
        self._current_version = None
        self.is_whole = False


def _size(part: str) -> int:
    return len(part.encode()) + EVENT_BYTES
