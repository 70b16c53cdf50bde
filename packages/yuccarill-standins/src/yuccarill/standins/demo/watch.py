"""Watch which revision each instance acts on."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.standins.demo import places as places_module
from yuccarill.standins.demo import readiness
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.places import Places

POLL_SECONDS = 0.05


class RevisionWatch:
    """Poll all instances for as long as they answer."""

    def __init__(self, places: Places) -> None:
        self._places = places
        self._is_ending = False
        self.reverts = 0
        self.looks = 0
        self.revision_by_id: dict[str, int] = {}
        # When each instance was first seen with a revision.
        self.first_seen: dict[tuple[str, int], float] = {}

    async def run(self) -> None:
        """Watch until end() is called."""
        watching = [
            defer.ensureDeferred(self._follow(instance))
            for instance in self._places.instances
        ]
        await defer.gatherResults(watching)

    def end(self) -> None:
        """Look no more."""
        self._is_ending = True

    def seconds_until(
        self, revision: int, since: float, names: set[str]
    ) -> float | None:
        """Return how long the last of some instances took to act on it."""
        seen = [self.first_seen.get((name, revision)) for name in names]
        found = [at for at in seen if at is not None]
        if not names or len(found) < len(seen):
            return None
        return max(found) - since

    def address_of(self, name: str) -> str:
        """Return an instance's address."""
        by_id = {entry['id']: entry for entry in self._places.instances}
        return places_module.address_of(by_id[name])

    async def _follow(self, instance: dict[str, str]) -> None:
        name = instance['id']
        address = places_module.address_of(instance)
        while not self._is_ending:
            status = await readiness.status_of(address)
            if status is not None:
                self._note(name, status['revision'])
            await server.sleep(POLL_SECONDS)

    def _note(self, name: str, revision: int) -> None:
        self.looks += 1
        if revision < self.revision_by_id.get(name, 0):
            self.reverts += 1
        self.revision_by_id[name] = revision
        self.first_seen.setdefault((name, revision), time.time())
