"""Watch which revision is in force at each instance."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.standins.demo import layout as layout_module
from yuccarill.standins.demo import readiness
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.layout import Layout

POLL_SECONDS = 0.05


class RevisionWatch:
    """Poll the revision of all instances."""

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self._is_ending = False
        self.reverts = 0
        self.polls = 0
        self.revision_by_id: dict[str, int] = {}
        # Time of the first poll that found a revision at an instance.
        self.first_seen: dict[tuple[str, int], float] = {}

    async def run(self) -> None:
        """Poll until end() is called."""
        polling = [
            defer.ensureDeferred(self._poll(instance))
            for instance in self._layout.instances
        ]
        await defer.gatherResults(polling)

    def end(self) -> None:
        """Stop polling."""
        self._is_ending = True

    def seconds_until(
        self, revision: int, since: float, names: set[str]
    ) -> float | None:
        """Return the seconds until all instances had a revision, or None."""
        seen_at = [self.first_seen.get((name, revision)) for name in names]
        known = [at for at in seen_at if at is not None]
        if not names or len(known) < len(seen_at):
            return None
        return max(known) - since

    def address_of(self, name: str) -> str:
        instances_by_id = {
            entry['id']: entry for entry in self._layout.instances
        }
        return layout_module.address_of(instances_by_id[name])

    async def _poll(self, instance: dict[str, str]) -> None:
        name = instance['id']
        address = layout_module.address_of(instance)
        while not self._is_ending:
            status = await readiness.status_of(address)
            if status is not None:
                self._record(name, status['revision'])
            await server.sleep(POLL_SECONDS)

    def _record(self, name: str, revision: int) -> None:
        self.polls += 1
        if revision < self.revision_by_id.get(name, 0):
            self.reverts += 1
        self.revision_by_id[name] = revision
        self.first_seen.setdefault((name, revision), time.time())
