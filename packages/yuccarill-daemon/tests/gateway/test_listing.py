"""Test that results are listed once, at fixed positions."""

from __future__ import annotations

import dataclasses

import msgspec

from yuccarill.core.ids import Revision
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import ItemResult
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs.job import ResultState
from yuccarill.daemon.gateway.jobs import job_store
from yuccarill.daemon.gateway.jobs import listing
from yuccarill.platform import keys

from . import memory_store
from . import world

JOB = JobId('j')


@dataclasses.dataclass
class HeldDuty:
    """Simulate a duty that is held under a revision."""

    revision: Revision | None
    service: str = world.SERVICE
    given_up: list[Revision] = dataclasses.field(default_factory=list)

    def record_confirmation(self, sent_at: float) -> None:
        pass

    def drop_hold(self, revision: Revision) -> None:
        self.given_up.append(revision)
        self.revision = None


def result(name: str) -> ItemResult:
    return ItemResult(
        id=ItemId(name),
        state=ResultState.COMPLETED,
        text=name,
        versions=(WeightVersion(1),),
        score='signed',
    )


class ListingTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.memory = self.store()
        self.keys.put(keys.duty(world.SERVICE), b'holder')
        self.duty = HeldDuty(Revision(self.keys.revision))
        self.conflicts: list[None] = []
        self.listing = self.listing_of(self.memory, self.duty)

    def listing_of(
        self, memory: memory_store.MemoryStore, duty: HeldDuty
    ) -> listing.Listing:
        jobs = job_store.JobStore(memory, self.clock)
        return listing.Listing(
            JOB,
            4,
            [],
            jobs,
            duty,
            self.clock,
            lambda: self.conflicts.append(None),
        )

    def listed(self) -> list[str]:
        jobs = job_store.JobStore(self.store(), self.clock)
        found = self.finish(jobs.read_results(JOB))
        chunks = sorted(found.chunks_by_position.items())
        ids: list[str] = []
        for position, chunk in chunks:
            self.assertEqual(len(ids), position)
            ids += [r.id for r in chunk.results]
        return ids

    def test_results_are_collected_until_one_is_awaited(self) -> None:
        self.listing.add(result('a'), False)
        self.run_for(0.1)
        self.assertEqual([], self.listed())
        self.listing.add(result('b'), True)
        self.run_for(0.1)
        self.assertEqual(['a', 'b'], self.listed())

    def test_results_that_exceed_a_chunk_are_written_next(self) -> None:
        """Guard against a delay of due results that exceed one chunk."""
        for name in 'abcd':
            large = 'x' * (listing.CHUNK_BYTES // 3)
            found = msgspec.structs.replace(result(name), text=large)
            self.listing.add(found, True)
        self.run_for(listing.AWAITED_SECONDS + listing.WRITE_SECONDS + 0.1)
        self.assertEqual(['a', 'b', 'c', 'd'], self.listed())

    def test_an_item_is_listed_once(self) -> None:
        self.listing.add(result('a'), True)
        self.run_for(0.5)
        self.listing.add(result('a'), True)
        self.run_for(0.5)
        self.assertEqual(['a'], self.listed())

    def test_readers_see_only_stored_results(self) -> None:
        self.memory.rejects_calls = True
        self.listing.add(result('a'), True)
        self.run_for(2.0)
        self.assertEqual([], self.listing.results)
        self.memory.rejects_calls = False
        self.run_for(1.0)
        self.assertEqual(1, len(self.listing.results))

    def test_a_lost_reply_lists_nothing_twice(self) -> None:
        """Guard against duplicate results after a lost reply."""
        self.memory.loses_replies = True
        self.listing.add(result('a'), True)
        self.run_for(3.0)
        self.memory.loses_replies = False
        self.listing.add(result('b'), True)
        self.run_for(3.0)
        self.assertEqual(['a', 'b'], self.listed())
        self.assertEqual(2, len(self.listing.results))

    def test_without_the_duty_nothing_is_listed(self) -> None:
        """Guard against two holders that list results at one position."""
        self.keys.put(keys.duty(world.SERVICE), b'another')
        self.listing.add(result('a'), True)
        self.run_for(1.0)
        self.assertEqual([], self.listed())
        self.assertEqual(1, len(self.duty.given_up))

    def test_pending_results_are_listed_after_the_duty_returns(self) -> None:
        self.duty.revision = None
        self.listing.add(result('a'), True)
        self.run_for(2.0)
        self.keys.put(keys.duty(world.SERVICE), b'holder again')
        self.duty.revision = Revision(self.keys.revision)
        self.run_for(1.0)
        self.assertEqual(['a'], self.listed())

    def test_a_late_write_of_the_old_holder_changes_nothing(self) -> None:
        # The new holder has already listed a result at the same position.
        self.keys.put(keys.duty(world.SERVICE), b'new')
        duty = HeldDuty(Revision(self.keys.revision))
        newer = self.listing_of(self.store(), duty)
        newer.add(result('b'), True)
        self.run_for(0.5)
        self.listing.add(result('a'), True)
        self.run_for(2.0)
        self.assertEqual(['b'], self.listed())

    def test_a_large_job_needs_few_writes(self) -> None:
        """Guard against a write for each whole group, which is expensive."""
        for number in range(224):
            self.listing.add(result(f'{number}'), number == 223)
            self.run_for(5.0 / 224)
        writes = self.memory.calls.count('transact')
        self.assertLessEqual(writes, 7)
        self.run_for(listing.WRITE_SECONDS + 0.1)
        self.assertEqual(224, len(self.listed()))
