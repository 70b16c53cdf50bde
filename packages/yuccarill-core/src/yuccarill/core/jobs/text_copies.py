"""Replicate partial texts by deltas, and merge replicas."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.jobs.left_text import LeftText

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.jobs.job import ItemId


class TextChange(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a text, or the events added since it was last copied."""

    text: LeftText
    # Number of events that the copy has already, not included here.
    first: int = 0

    @property
    def size(self) -> int:
        """Return the number of characters in the events."""
        return sum(len(part) for part in self.text.parts)


class CopiedTexts:
    """Track what one replica holds of each text."""

    def __init__(self) -> None:
        self._texts_by_item: dict[ItemId, LeftText] = {}

    def changes(self, texts: Iterable[LeftText]) -> list[TextChange]:
        """Return the changes that the replica lacks; forget other texts."""
        found = {text.item: text for text in texts}
        for item in self._texts_by_item.keys() - found.keys():
            del self._texts_by_item[item]
        return [
            self._change(text)
            for text in found.values()
            if self._texts_by_item.get(text.item) != text
        ]

    def copied(self, change: TextChange) -> None:
        """Record that the replica holds a change."""
        item = change.text.item
        text = continued(self._texts_by_item.get(item), change)
        if text is not None:
            self._texts_by_item[item] = text

    def forget(self, item: ItemId) -> None:
        """Mark one text as missing from the replica."""
        self._texts_by_item.pop(item, None)

    def clear(self) -> None:
        """Mark all texts as missing from the replica."""
        self._texts_by_item.clear()

    def _change(self, text: LeftText) -> TextChange:
        known = self._texts_by_item.get(text.item)
        first = 0 if known is None else len(known.parts)
        if known is None or text.parts[:first] != known.parts:
            # The text was restarted, so its copied events are obsolete.
            return TextChange(text=text)
        rest = msgspec.structs.replace(text, parts=text.parts[first:])
        return TextChange(text=rest, first=first)


def continued(known: LeftText | None, change: TextChange) -> LeftText | None:
    """Apply a change to a copied text; return None if events are missing."""
    if not change.first:
        return change.text
    if known is None or len(known.parts) < change.first:
        return None
    parts = known.parts[: change.first] + change.text.parts
    return msgspec.structs.replace(change.text, parts=parts)


def bounded(
    changes: Iterable[TextChange], most: int
) -> tuple[TextChange, ...]:
    """Return the leading changes with at most `most` characters."""
    chosen = []
    left = most
    for change in changes:
        left -= change.size
        if left < 0:
            break
        chosen.append(change)
    return tuple(chosen)


def longest(*copies: Iterable[LeftText]) -> list[LeftText]:
    """Merge replicas; keep the longest copy of each text."""
    texts_by_item: dict[ItemId, LeftText] = {}
    for text in itertools.chain(*copies):
        known = texts_by_item.get(text.item)
        if known is None or len(known.parts) < len(text.parts):
            texts_by_item[text.item] = text
    return list(texts_by_item.values())
