"""Choose engines for many waiting items at once."""

from __future__ import annotations

import heapq
import itertools
import types
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from yuccarill.core.ids import Instant
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.jobs.engines import EngineFleet
    from yuccarill.core.jobs.engines import EngineState
    from yuccarill.core.jobs.job import Job

# Heap entry: an engine's cost at insertion, a tie breaker, and the engine.
_Entry = tuple[float, int, 'EngineState']


class _FreeSlots:
    """Count the free slots for one model and oldest weight version."""

    def __init__(self, by_engine: dict[TargetId, int]) -> None:
        self.by_engine = by_engine
        self.total = sum(by_engine.values())


class EngineAssigner:
    """Choose engines as `EngineFleet.choose` does, from heaps of their costs.

    Heaps avoid a scan of all engines for every item.
    """

    def __init__(self, fleet: EngineFleet, now: Instant) -> None:
        self._fleet = fleet
        self._now = now
        self._numbers = itertools.count()
        self._heaps_by_needs: dict[
            tuple[ModelName | None, WeightVersion], list[_Entry]
        ] = {}
        self._free_slots_by_needs: dict[
            tuple[ModelName | None, WeightVersion], _FreeSlots
        ] = {}

    def choose(
        self,
        job: Job,
        others: Mapping[TargetId, int] = types.MappingProxyType({}),
        barred: Collection[TargetId] = (),
    ) -> EngineState | None:
        """Return the engine with a free slot and the lowest cost.

        `others` counts, for each engine, the items that this one should not
        run beside. Such engines are the last resort, the lowest count first.
        Engines in `barred` are excluded.
        """
        heap = self._heap_for(job)
        skipped: list[_Entry] = []
        engine = self._cheapest(heap, job)
        avoided = others.keys() | set(barred)
        while engine is not None and engine.target.id in avoided:
            skipped.append(heapq.heappop(heap))
            engine = self._cheapest(heap, job)
        for entry in skipped:
            heapq.heappush(heap, entry)
        if engine is not None:
            return engine
        allowed = [e for e in skipped if e[2].target.id not in barred]
        # Entries are ordered by cost, so `min` breaks ties by cost.
        least = min(
            allowed, key=lambda e: others[e[2].target.id], default=None
        )
        return None if least is None else least[2]

    def _heap_for(self, job: Job) -> list[_Entry]:
        needs = (job.model, job.min_version)
        heap = self._heaps_by_needs.get(needs)
        if heap is None:
            heap = self._new_heap(job)
            self._heaps_by_needs[needs] = heap
        return heap

    def _cheapest(self, heap: list[_Entry], job: Job) -> EngineState | None:
        while heap:
            cost, _, engine = heap[0]
            if not self._fleet.can_run(engine, job, self._now):
                # Became full or was ejected after its entry was pushed.
                heapq.heappop(heap)
                continue
            current = self._fleet.cost(engine, self._now)
            if current > cost:
                number = next(self._numbers)
                heapq.heapreplace(heap, (current, number, engine))
                continue
            return engine
        return None

    def free_slots(self, job: Job, without: EngineState) -> int:
        """Return the free slots for a job on other engines that are not slow.

        The count is cached, since a scan of all engines for each run is slow.
        """
        needs = (job.model, job.min_version)
        free = self._free_slots_by_needs.get(needs)
        if free is None:
            free = _FreeSlots(
                {
                    engine.target.id: self._free_slots(engine, job)
                    for engine in self._fleet.engines_by_id.values()
                }
            )
            self._free_slots_by_needs[needs] = free
        return free.total - free.by_engine.get(without.target.id, 0)

    def reserve_slot(self, job: Job) -> None:
        """Subtract the free slot that a moved run of a job will use."""
        free = self._free_slots_by_needs.get((job.model, job.min_version))
        if free is not None:
            free.total -= 1

    def exclude_engine(self, engine: EngineState) -> None:
        """Subtract the free slots of an engine that has just failed."""
        for free in self._free_slots_by_needs.values():
            free.total -= free.by_engine.pop(engine.target.id, 0)

    def _free_slots(self, engine: EngineState, job: Job) -> int:
        if not self._fleet.can_run(engine, job, self._now):
            return 0
        if self._fleet.is_slow(engine, self._now):
            return 0
        return engine.target.slots - engine.running

    def _new_heap(self, job: Job) -> list[_Entry]:
        entries = [
            (self._fleet.cost(engine, self._now), next(self._numbers), engine)
            for engine in self._fleet.engines_by_id.values()
            if self._fleet.can_run(engine, job, self._now)
        ]
        heapq.heapify(entries)
        return entries
