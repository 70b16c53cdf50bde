"""Replicate partial texts by deltas, and merge replicas."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.jobs.partial_text import PartialText

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.jobs.job import ItemId


class TextChange(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a text, or the events added since it was last copied."""

    text: PartialText
    # Number of events that the copy has already, not included here.
    first: int = 0

    @property
    def size(self) -> int:
        """Return the number of characters in the events."""
        return sum(len(part) for part in self.text.parts)


class CopiedTexts:
    """Track what one replica holds of each text."""

    def __init__(self) -> None:
        self._texts_by_item: dict[ItemId, PartialText] = {}

    def changes(self, texts: Iterable[PartialText]) -> list[TextChange]:
        """Return the changes that the replica lacks; forget other texts."""
        current_by_item = {text.item: text for text in texts}
        for item in self._texts_by_item.keys() - current_by_item.keys():
            del self._texts_by_item[item]
        return [
            self._change(text)
            for text in current_by_item.values()
            if self._texts_by_item.get(text.item) != text
        ]

    def record_change(self, change: TextChange) -> None:
        """Record that the replica holds a change."""
        item = change.text.item
        text = apply_change(self._texts_by_item.get(item), change)
        if text is not None:
            self._texts_by_item[item] = text

    def forget(self, item: ItemId) -> None:
        """Mark one text as missing from the replica."""
        self._texts_by_item.pop(item, None)

    def clear(self) -> None:
        """Mark all texts as missing from the replica."""
        self._texts_by_item.clear()

    def _change(self, text: PartialText) -> TextChange:
        copied = self._texts_by_item.get(text.item)
        first = 0 if copied is None else len(copied.parts)
        if copied is None or text.parts[:first] != copied.parts:
            # The text was restarted, so its copied events are obsolete.
            return TextChange(text=text)
        rest = msgspec.structs.replace(text, parts=text.parts[first:])
        return TextChange(text=rest, first=first)


def apply_change(
    copied: PartialText | None, change: TextChange
) -> PartialText | None:
    """Apply a change to a copied text; return None if events are missing."""
    if not change.first:
        return change.text
    if copied is None or len(copied.parts) < change.first:
        return None
    parts = copied.parts[: change.first] + change.text.parts
    return msgspec.structs.replace(change.text, parts=parts)


def limit_size(
    changes: Iterable[TextChange], max_size: int
) -> tuple[TextChange, ...]:
    """Return the leading changes with at most `max_size` characters."""
    chosen = []
    remaining = max_size
    for change in changes:
        remaining -= change.size
        if remaining < 0:
            break
        chosen.append(change)
    return tuple(chosen)


def longest(*copies: Iterable[PartialText]) -> list[PartialText]:
    """Merge replicas; keep the longest copy of each text."""
    texts_by_item: dict[ItemId, PartialText] = {}
    for text in itertools.chain(*copies):
        kept = texts_by_item.get(text.item)
        if kept is None or len(kept.parts) < len(text.parts):
            texts_by_item[text.item] = text
    return list(texts_by_item.values())
