"""Test how results are listed once, at positions that never change."""

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
    """Stand in for a duty that is held under a revision."""

    revision: Revision | None
    service: str = world.SERVICE
    given_up: list[Revision] = dataclasses.field(default_factory=list)

    def confirm_from(self, sent_at: float) -> None:
        pass

    def give_up(self, revision: Revision) -> None:
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
        self.taken: list[None] = []
        self.listing = self.listing_of(self.memory, self.duty)

    def listing_of(
        self, memory: memory_store.MemoryStore, duty: HeldDuty
    ) -> listing.Listing:
        jobs = job_store.JobStore(memory, self.clock)
        return listing.Listing(
            JOB, 4, [], jobs, duty, self.clock, lambda: self.taken.append(None)
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

    def test_results_are_collected_until_a_group_is_whole(self) -> None:
        self.listing.add(result('a'), False)
        self.run_for(0.1)
        self.assertEqual([], self.listed())
        self.listing.add(result('b'), True)
        self.run_for(0.1)
        self.assertEqual(['a', 'b'], self.listed())

    def test_what_did_not_fit_a_write_goes_with_the_next(self) -> None:
        """A trainer waited 1.3 s for results that were made before it asked.

        A new holder lists what a standby has made, more than fits one write.
        """
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

    def test_readers_see_what_is_stored_only(self) -> None:
        self.memory.refuses = True
        self.listing.add(result('a'), True)
        self.run_for(2.0)
        self.assertEqual([], self.listing.results)
        self.memory.refuses = False
        self.run_for(1.0)
        self.assertEqual(1, len(self.listing.results))

    def test_a_lost_reply_lists_nothing_twice(self) -> None:
        """A trainer would count a sample twice.

        1. The write of a chunk takes effect, and its reply is lost.
        2. The same chunk is written again, and the store refuses it.
        3. The chunk stands as it was written: it counts as listed.
        """
        self.memory.loses_replies = True
        self.listing.add(result('a'), True)
        self.run_for(3.0)
        self.memory.loses_replies = False
        self.listing.add(result('b'), True)
        self.run_for(3.0)
        self.assertEqual(['a', 'b'], self.listed())
        self.assertEqual(2, len(self.listing.results))

    def test_without_the_duty_nothing_is_listed(self) -> None:
        """Two instances would list different results at one position.

        1. The duty passes to another instance, unseen by the first one.
        2. The first one writes its chunk under its own hold.
        3. The store refuses it, since the hold is another one by now.
        """
        self.keys.put(keys.duty(world.SERVICE), b'another')
        self.listing.add(result('a'), True)
        self.run_for(1.0)
        self.assertEqual([], self.listed())
        self.assertEqual(1, len(self.duty.given_up))

    def test_a_duty_that_came_back_lists_what_waited(self) -> None:
        self.duty.revision = None
        self.listing.add(result('a'), True)
        self.run_for(2.0)
        self.keys.put(keys.duty(world.SERVICE), b'holder again')
        self.duty.revision = Revision(self.keys.revision)
        self.run_for(1.0)
        self.assertEqual(['a'], self.listed())

    def test_a_late_write_of_the_old_holder_changes_nothing(self) -> None:
        # The old holder's write reaches the store after the new holder has
        # listed at the same position.
        self.keys.put(keys.duty(world.SERVICE), b'new')
        duty = HeldDuty(Revision(self.keys.revision))
        newer = self.listing_of(self.store(), duty)
        newer.add(result('b'), True)
        self.run_for(0.5)
        self.listing.add(result('a'), True)
        self.run_for(2.0)
        self.assertEqual(['b'], self.listed())

    def test_a_large_step_costs_few_writes(self) -> None:
        """A step of 224 items made 17 writes, of which one was awaited.

        Texts end evenly over 5 s; the last one makes the group whole that
        the trainer waits for, and is read a moment after.
        """
        for number in range(224):
            self.listing.add(result(f'{number}'), number == 223)
            self.run_for(5.0 / 224)
        writes = self.memory.calls.count('transact')
        self.assertLessEqual(writes, 7)
        self.run_for(listing.WRITE_SECONDS + 0.1)
        self.assertEqual(224, len(self.listed()))
