"""Cache prompt prefixes in bounded memory and publish cache events."""

from __future__ import annotations

import collections
import time
from typing import Any


class PrefixCache:
    """LRU cache of prompts whose events become visible after a lag."""

    def __init__(self) -> None:
        self._prompts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._next_number = 1

    def look_up(self, prompt: str, size: int, gap_every: int) -> bool:
        """Return whether a prompt was cached, and cache it."""
        is_hit = prompt in self._prompts
        self._prompts[prompt] = None
        self._prompts.move_to_end(prompt)
        if not is_hit:
            self._publish('stored', prompt, gap_every)
        while len(self._prompts) > size:
            evicted, _ = self._prompts.popitem(last=False)
            self._publish('evicted', evicted, gap_every)
        return is_hit

    def clear(self) -> None:
        """Drop all prompts; new weights invalidate them."""
        self._prompts.clear()
        self._publish('cleared', '', 0)

    def events(self, after: int, lag_seconds: float) -> list[dict[str, Any]]:
        """Return the visible events with a number above the given one."""
        visible_until = time.monotonic() - lag_seconds
        return [
            event
            for published_at, event in self._events
            if event['number'] > after and published_at <= visible_until
        ]

    def _publish(self, kind: str, prompt: str, gap_every: int) -> None:
        number = self._next_number
        self._next_number += 1
        if gap_every and number % gap_every == 0:
            return
        event = {'number': number, 'kind': kind, 'prompt': prompt}
        self._events.append((time.monotonic(), event))
