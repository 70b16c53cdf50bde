"""Test how several holders list the results of one job."""

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
        """Give a part to a holder."""
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

    def test_holders_that_write_at_once_list_each_result_once(self) -> None:
        """Results of two holders at one position would hide one another."""
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
        """A trainer would count a sample twice.

        1. A write takes effect, and its reply is lost.
        2. Another holder writes behind it.
        3. The first one tries again, and finds its results counted.
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

    def test_a_write_that_was_refused_is_made_later(self) -> None:
        memory = self.store()
        memory.refuses = True
        writing = self.append(self.writer(0, memory), 0, 0, 'a')
        self.run_for(1.0)
        self.assertEqual([], self.listed())
        memory.refuses = False
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

    def test_a_successor_goes_on_behind_all_shares(self) -> None:
        first = self.writer(0)
        self.append(first, 0, 0, 'a')
        self.append(self.writer(1), 1, 0, 'b')
        self.run_for(1.0)
        self.duties[0] = self.take(0)
        writing = self.append(self.writer(0), 0, 1, 'c')
        self.run_for(1.0)
        self.assertIsNone(writing.result)
        self.assertEqual('c', self.listed()[2])

    def test_results_that_are_not_known_here_are_told(self) -> None:
        """What stands at a share's positions has to be read first."""
        self.append(self.writer(0), 0, 0, 'a')
        self.run_for(1.0)
        writing = self.append(self.writer(0), 0, 0, 'b')
        self.run_for(1.0)
        writing.addErrback(lambda failure: failure.type)
        self.assertIs(job_store.PositionTaken, writing.result)
        self.assertEqual(['a'], self.listed())
