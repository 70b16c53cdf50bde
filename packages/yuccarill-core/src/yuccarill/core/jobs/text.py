"""Put the text of one item together over several runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Iterable


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one event of an engine's stream."""

    # Counts from 1 within an item; none if the engine sent no number.
    number: int | None
    data: str
    # Set where the engine's weights changed before this event.
    version: WeightVersion | None = None
    # The event as it came, for those who pass it on.
    raw: bytes = b''


class TextBroken(Exception):
    """Report events that do not continue the text."""


class ItemText:
    """Collect an item's events in order.

    A run that breaks off is continued by another one that starts after the
    last whole event, so no event may be missing or stand twice.
    """

    def __init__(self) -> None:
        self._parts: list[str] = []
        self._versions: set[WeightVersion] = set()
        self._current: WeightVersion | None = None
        # Set once an engine has sent the last event.
        self.is_whole = False

    @classmethod
    def restore(
        cls,
        parts: Iterable[str],
        versions: Iterable[WeightVersion],
        is_whole: bool,
    ) -> ItemText:
        """Return the text that an earlier run left."""
        text = cls()
        text._parts = list(parts)
        text._versions = set(versions)
        text.is_whole = is_whole
        return text

    @property
    def parts(self) -> tuple[str, ...]:
        return tuple(self._parts)

    @property
    def events(self) -> int:
        """Count the events that were taken; a resumed run starts after."""
        return len(self._parts)

    @property
    def versions(self) -> tuple[WeightVersion, ...]:
        return tuple(sorted(self._versions))

    @property
    def text(self) -> str:
        return '\n'.join(self._parts)

    def begin_run(self, version: WeightVersion | None) -> None:
        """Take the version that a run's answer names at its start."""
        self._current = version

    def take(self, event: StreamEvent) -> None:
        """Add one event.

        Raises TextBroken if it is not the next one or its weights are not
        known.
        """
        if event.version is not None:
            self._current = event.version
        if event.number != self.events + 1:
            raise TextBroken(
                f'Event {event.number} came after event {self.events}.'
            )
        # A sample whose weights are not known can't be attributed; guessing
        # from what was ordered would name weights that did not make it.
        if self._current is None:
            raise TextBroken('The engine names no weight version.')
        self._parts.append(event.data)
        self._versions.add(self._current)

    def fits(self, min_version: WeightVersion, is_single: bool) -> bool:
        """Tell whether the text so far may be listed for a job."""
        if is_single and len(self._versions) > 1:
            return False
        return all(version >= min_version for version in self._versions)

    def clear(self) -> None:
        """Forget the text, so that the next run starts over."""
        self._parts.clear()
        self._versions.clear()
        self._current = None
        self.is_whole = False
