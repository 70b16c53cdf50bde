"""Test that several holders list the results of one job."""

from __future__ import annotations

from twisted.internet import defer

from yuccarill.core.ids import Revision
from yuccarill.core.ids import ServiceName
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs.job import JobShare
from yuccarill.daemon.gateway.jobs import job_store
from yuccarill.daemon.gateway.jobs import shared_results
from yuccarill.platform import keys

from . import memory_store
from . import test_listing
from . import world

JOB = JobId('j')


class SharedResultsTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.duties = [self.take(number) for number in range(3)]

    def take(self, number: int) -> Revision:
        """Replace the holder of a partition."""
        self.keys.put(keys.duty(self.part(number)), b'holder')
        return Revision(self.keys.revision)

    def part(self, number: int) -> ServiceName:
        return ServiceName(f'{world.SERVICE}:{number}')

    def writer(
        self, number: int, memory: memory_store.MemoryStore | None = None
    ) -> shared_results.SharedResults:
        share = JobShare(job=JOB, number=number)
        return shared_results.SharedResults(
            memory or self.store(), share, self.clock
        )

    def append(
        self,
        writer: shared_results.SharedResults,
        number: int,
        first: int,
        *names: str,
    ) -> defer.Deferred:
        results = tuple(test_listing.result(name) for name in names)
        return defer.Deferred.fromCoroutine(
            writer.append(
                JobId(f'j:{number}'),
                first,
                results,
                self.part(number),
                self.duties[number],
            )
        )

    def listed(self) -> list[str]:
        jobs = job_store.JobStore(self.store(), self.clock)
        found = self.finish(jobs.read_results(JOB))
        ids: list[str] = []
        for position, chunk in sorted(found.chunks_by_position.items()):
            self.assertEqual(len(ids), position)
            ids += [result.id for result in chunk.results]
        return ids

    def test_concurrent_writes_list_each_result_once(self) -> None:
        """Guard against results of two holders at one position."""
        writers = [self.writer(number) for number in range(3)]
        for first in range(4):
            writing = [
                self.append(writer, number, first, f'{number}-{first}')
                for number, writer in enumerate(writers)
            ]
            self.run_for(1.0)
            self.assertEqual([None] * 3, [each.result for each in writing])
        expected = [f'{n}-{first}' for n in range(3) for first in range(4)]
        self.assertEqual(sorted(expected), sorted(self.listed()))

    def test_a_lost_reply_lists_nothing_twice(self) -> None:
        """Guard against duplicate results after a lost reply.

        Another holder writes before the retry.
        """
        memory = self.store()
        memory.loses_replies = True
        writing = self.append(self.writer(0, memory), 0, 0, 'a', 'b')
        self.run_for(0.5)
        self.append(self.writer(1), 1, 0, 'c')
        self.run_for(1.0)
        memory.loses_replies = False
        self.run_for(5.0)
        self.assertIsNone(writing.result)
        self.assertEqual(['a', 'b', 'c'], self.listed())

    def test_a_refused_write_is_retried(self) -> None:
        memory = self.store()
        memory.rejects_calls = True
        writing = self.append(self.writer(0, memory), 0, 0, 'a')
        self.run_for(1.0)
        self.assertEqual([], self.listed())
        memory.rejects_calls = False
        self.run_for(1.0)
        self.assertIsNone(writing.result)
        self.assertEqual(['a'], self.listed())

    def test_without_the_duty_nothing_is_listed(self) -> None:
        self.take(0)
        writing = self.append(self.writer(0), 0, 0, 'a')
        self.run_for(1.0)
        writing.addErrback(lambda failure: failure.type)
        self.assertIs(job_store.DutyLost, writing.result)
        self.assertEqual([], self.listed())

    def test_a_successor_appends_to_all_shares(self) -> None:
        first = self.writer(0)
        self.append(first, 0, 0, 'a')
        self.append(self.writer(1), 1, 0, 'b')
        self.run_for(1.0)
        self.duties[0] = self.take(0)
        writing = self.append(self.writer(0), 0, 1, 'c')
        self.run_for(1.0)
        self.assertIsNone(writing.result)
        self.assertEqual('c', self.listed()[2])

    def test_unknown_results_are_a_position_conflict(self) -> None:
        """Guard against writing without knowing the share's listed results."""
        self.append(self.writer(0), 0, 0, 'a')
        self.run_for(1.0)
        writing = self.append(self.writer(0), 0, 0, 'b')
        self.run_for(1.0)
        writing.addErrback(lambda failure: failure.type)
        self.assertIs(job_store.PositionTaken, writing.result)
        self.assertEqual(['a'], self.listed())
