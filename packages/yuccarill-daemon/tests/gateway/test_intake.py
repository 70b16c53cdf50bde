"""Test that batch jobs are accepted once and can be read."""

from __future__ import annotations

from unittest import mock

import msgspec
from nose2.tools import params
from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.gateway import partitions
from yuccarill.core.gateway.requests import ClientRequest
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.gateway import routes
from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import Revision
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import JobId
from yuccarill.daemon.gateway.jobs import intake
from yuccarill.daemon.gateway.jobs import job_store
from yuccarill.platform import keys
from yuccarill.platform import ports

from . import memory_store
from . import test_listing
from . import world

BODY = msgspec.json.encode(
    {
        'step': 1,
        'model': 'm',
        'minVersion': 1,
        'targetGroups': 1,
        'items': [
            {'id': 'i1', 'path': '/p', 'body': 'YWI=', 'group': 'g'},
            {'id': 'i2', 'path': '/p', 'body': 'YWI=', 'group': 'g'},
        ],
    }
)


class NoPeers:
    """Simulate a relay without other instances."""

    answer: TargetAnswer | None = None

    def holder_of_part(self, part: str) -> None:
        return None

    def peer(self) -> object | None:
        return 'peer' if self.answer else None

    async def send(self, peer: object, request: object, seconds: float):
        return self.answer


class IntakeTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.memory = self.store()
        self.peers = NoPeers()
        self.intake = self.intake_of(self.memory)

    def intake_of(self, memory: memory_store.MemoryStore) -> intake.Intake:
        jobs = job_store.JobStore(memory, self.clock)
        return intake.Intake(self.state('a'), jobs, self.peers, {}, self.clock)

    def request(self, body: bytes = BODY) -> ClientRequest:
        now = self.clock.seconds()
        return ClientRequest(
            id=RequestId('j'),
            method='POST',
            host='t.example',
            path='/train/1',
            target='/train/1',
            headers=(),
            body=body,
            arrived_at=Instant(now),
            deadline=Instant(now + 8.0),
        )

    def submit(self, body: bytes = BODY) -> TargetAnswer:
        request = self.request(body)
        return self.finish(self.intake.submit(world.batch_route(), request))

    def test_a_job_is_stored_before_it_is_accepted(self) -> None:
        self.assertEqual(202, self.submit().status)
        key = keys.job_spec(JobId('j'))
        job = job_store.decode_job(self.keys.entries_by_key[key].value)
        self.assertEqual(2, len(job.items))
        self.assertIn(
            keys.work(world.SERVICE, JobId('j')), self.keys.entries_by_key
        )

    # Requesting account, and whether it can read the job.
    @params(('mine', True), ('other', False), (None, False))
    def test_a_job_belongs_to_its_account(
        self, name: str | None, is_known: bool
    ) -> None:
        """Guard against revealing a job to another account."""
        request = msgspec.structs.replace(
            self.request(), account=AccountName('mine')
        )
        self.finish(self.intake.submit(world.batch_route(), request))
        account = None if name is None else AccountName(name)
        query = ports.ResultsQuery(job=JobId('j'), first=0, wait=0.0)
        # An instance that has cached the job, and one that has not.
        for found in (self.intake, self.intake_of(self.memory)):
            for work in (
                lambda i=found: i.read_results(query, account),
                lambda i=found: i.read_item(JobId('j'), ItemId('i1'), account),
                lambda i=found: i.end_job(JobId('j'), None, account),
            ):
                if is_known:
                    self.finish(work())
                    continue
                with self.assertRaises(errors.UnknownStep):
                    self.finish(work())

    def test_a_job_goes_to_the_partition_of_its_model(self) -> None:
        state = self.state('a')
        state.divisions_by_service[world.SERVICE] = partitions.Division(
            parts=3
        )
        jobs = job_store.JobStore(self.memory, self.clock)
        self.intake = intake.Intake(state, jobs, self.peers, {}, self.clock)
        self.submit()
        part = state.part_of(world.SERVICE, world.MODEL)
        self.assertNotEqual(world.SERVICE, part)
        self.assertIn(keys.work(part, JobId('j')), self.keys.entries_by_key)

    def test_a_job_names_the_configuration_that_accepted_it(self) -> None:
        """Guard against holders that judge a job by an older configuration."""
        state = self.state('a')
        state.route_table = routes.RouteTable(
            7, [world.batch_route()], [], routes.ClientLimits()
        )
        jobs = job_store.JobStore(self.memory, self.clock)
        self.intake = intake.Intake(state, jobs, self.peers, {}, self.clock)
        self.submit()
        key = keys.job_spec(JobId('j'))
        job = job_store.decode_job(self.keys.entries_by_key[key].value)
        self.assertEqual(7, job.accepted_version)

    def test_a_job_waits_until_its_partition_is_known(self) -> None:
        """Guard against a job stored for a partition without a holder."""
        state = self.state('a')
        state.divisions_by_service.clear()
        jobs = job_store.JobStore(self.memory, self.clock)
        self.intake = intake.Intake(state, jobs, self.peers, {}, self.clock)
        work = defer.Deferred.fromCoroutine(
            self.intake.submit(world.batch_route(), self.request())
        )
        self.run_for(1.0)
        self.assertEqual({}, self.keys.entries_by_key)
        state.divisions_by_service[world.SERVICE] = partitions.UNDIVIDED
        self.run_for(0.1)
        self.assertEqual(202, work.result.status)

    def test_a_job_without_a_partition_is_refused_as_not_run(self) -> None:
        state = self.state('a')
        state.divisions_by_service.clear()
        jobs = job_store.JobStore(self.memory, self.clock)
        self.intake = intake.Intake(state, jobs, self.peers, {}, self.clock)
        with self.assertRaises(errors.NotRun):
            self.submit()
        self.run_for(5.0)
        self.assertEqual({}, self.keys.entries_by_key)

    def test_a_resubmitted_job_is_accepted_once(self) -> None:
        self.submit()
        before = self.keys.revision
        self.assertEqual(202, self.submit().status)
        self.assertEqual(before, self.keys.revision)

    def test_a_job_stored_earlier_is_not_offered_as_new(self) -> None:
        """Guard against losing listed results when a job is resubmitted."""
        offered: list[JobId] = []
        runner = mock.Mock(add_job=lambda job: offered.append(job.id))
        self.intake = intake.Intake(
            self.state('a'),
            job_store.JobStore(self.memory, self.clock),
            self.peers,
            {world.SERVICE: runner},
            self.clock,
        )
        for _ in range(3):
            self.assertEqual(202, self.submit().status)
        self.assertEqual([JobId('j')], offered)

    def test_a_job_of_an_unclear_write_is_not_offered_as_new(self) -> None:
        # Another instance can have run the job since the unclear write.
        runner = mock.Mock()
        self.intake = intake.Intake(
            self.state('a'),
            job_store.JobStore(self.memory, self.clock),
            self.peers,
            {world.SERVICE: runner},
            self.clock,
        )
        self.memory.loses_replies = True
        self.clock.callLater(0.5, setattr, self.memory, 'loses_replies', False)
        self.assertEqual(202, self.submit().status)
        runner.add_job.assert_not_called()

    def test_a_refused_write_is_reported_as_not_run(self) -> None:
        self.memory.rejects_calls = True
        with self.assertRaises(errors.NotRun) as caught:
            self.submit()
        self.assertIsNotNone(caught.exception.retry_after)

    def test_a_write_without_a_reply_is_an_unknown_outcome(self) -> None:
        """Guard against reporting a stored job as not run.

        The write takes effect without a reply; later writes are refused.
        """
        self.memory.drops_calls = True
        submitting = defer.Deferred.fromCoroutine(
            self.intake.submit(world.batch_route(), self.request())
        )
        results: list = []
        submitting.addBoth(results.append)
        self.run_for(2.0)
        self.memory.drops_calls = False
        self.memory.rejects_calls = True
        self.run_for(10.0)
        self.assertTrue(results[0].check(errors.OutcomeUnknown))

    # Answer of the holder to a relayed job, and the error of the submission.
    @params(
        (None, errors.OutcomeUnknown),
        (500, errors.OutcomeUnknown),
        (502, errors.OutcomeUnknown),
        (999, errors.OutcomeUnknown),
        (503, errors.NotRun),
        (404, errors.NotRun),
    )
    def test_an_unknown_outcome_at_the_holder_stays_unknown(
        self, status: int | None, expected: type[Exception]
    ) -> None:
        """Guard against a job that is refused as not run and runs."""
        answer = None
        if status is not None:
            answer = TargetAnswer(
                status=status, headers=(), body=b'', signature=None
            )

        async def send(*_: object) -> TargetAnswer | None:
            return answer

        self.memory.rejects_calls = True
        with (
            mock.patch.object(self.peers, 'holder_of_part', lambda _: 'h'),
            mock.patch.object(self.peers, 'send', send),
            self.assertRaises(expected),
        ):
            self.submit()

    def test_a_lost_reply_is_resolved_by_a_retry(self) -> None:
        self.memory.loses_replies = True
        submitting = defer.Deferred.fromCoroutine(
            self.intake.submit(world.batch_route(), self.request())
        )
        self.run_for(0.5)
        self.memory.loses_replies = False
        self.run_for(2.0)
        self.assertEqual(202, submitting.result.status)

    def test_a_short_outage_of_the_store_is_waited_for(self) -> None:
        self.memory.rejects_calls = True
        submitting = defer.Deferred.fromCoroutine(
            self.intake.submit(world.batch_route(), self.request())
        )
        self.run_for(3.0)
        self.memory.rejects_calls = False
        self.run_for(1.0)
        self.assertEqual(202, submitting.result.status)

    def test_a_peer_accepts_while_the_store_refuses(self) -> None:
        self.memory.rejects_calls = True
        self.peers.answer = TargetAnswer(
            status=202, headers=(), body=b'', signature=None
        )
        self.assertEqual(202, self.submit().status)

    def test_bad_jobs_are_refused_before_anything_is_stored(self) -> None:
        for body in (
            b'',
            b'[]',
            b'{"items":[]}',
            b'{"items":[{"id":"a","path":"/","body":"%%"}]}',
            b'{"items":[{"id":"a","path":"/"},{"id":"a","path":"/"}]}',
            BODY[:-5],
        ):
            with self.subTest(body), self.assertRaises(errors.RequestError):
                self.submit(body)
        self.assertEqual({}, self.keys.entries_by_key)


class ReadTest(IntakeTest):
    def query(self, first: int = 0, wait: float = 0.0) -> ports.ResultsQuery:
        return ports.ResultsQuery(job=JobId('j'), first=first, wait=wait)

    def read(self, first: int = 0, wait: float = 0.0) -> dict:
        body = self.finish(self.intake.read_results(self.query(first, wait)))
        return msgspec.json.decode(body)

    def list(self, *names: str) -> None:
        jobs = job_store.JobStore(self.store(), self.clock)
        self.keys.put(keys.duty(world.SERVICE), b'holder')
        first = self.listed
        self.listed += len(names)
        results = tuple(test_listing.result(name) for name in names)
        self.finish(
            jobs.append(
                JobId('j'),
                first,
                results,
                world.SERVICE,
                Revision(self.keys.revision),
            )
        )

    listed = 0

    def test_results_are_read_from_a_position(self) -> None:
        self.submit()
        self.list('a', 'b')
        found = self.read(1)
        self.assertEqual((2, 2), (found['total'], found['next']))
        self.assertEqual(['b'], [r['id'] for r in found['results']])

    def test_another_instance_gives_the_same_results(self) -> None:
        self.submit()
        self.list('a')
        before = self.read()
        self.list('b')
        other = self.intake_of(self.store())
        body = self.finish(other.read_results(self.query()))
        after = msgspec.json.decode(body)
        self.assertEqual(before['results'], after['results'][:1])

    def test_a_reader_waits_for_the_next_result(self) -> None:
        self.submit()
        reading = defer.Deferred.fromCoroutine(
            self.intake.read_results(self.query(0, 1.0))
        )
        self.run_for(0.3)
        self.list('a')
        self.run_for(0.1)
        found = msgspec.json.decode(reading.result)
        self.assertEqual(['a'], [r['id'] for r in found['results']])

    def test_a_reader_gets_no_results_after_its_wait(self) -> None:
        self.submit()
        self.assertEqual([], self.read(0, 1.0)['results'])

    def test_unknown_jobs_and_items(self) -> None:
        with self.assertRaises(errors.UnknownStep):
            self.read()
        self.submit()
        body = self.finish(self.intake.read_item(JobId('j'), 'i1'))
        self.assertEqual(b'ab', body)
        with self.assertRaises(errors.UnknownStep):
            self.finish(self.intake.read_item(JobId('j'), 'i9'))

    def test_an_outage_of_the_store_is_not_a_missing_job(self) -> None:
        # A trainer that gets 404 drops its job.
        self.submit()
        self.memory.rejects_calls = True
        with self.assertRaises(errors.StoreUnavailable):
            self.read()

    @params(
        ('rejects_calls', errors.StoreUnavailable),
        ('loses_replies', errors.OutcomeUnknown),
    )
    def test_an_end_without_an_answer_is_not_refused(
        self, fault: str, expected: type[Exception]
    ) -> None:
        """Guard against an end that is refused as not run and takes effect."""
        self.submit()
        setattr(self.memory, fault, True)
        with self.assertRaises(expected):
            self.finish(self.intake.end_job(JobId('j'), world.SERVICE))

    def test_ending_a_job_is_idempotent(self) -> None:
        self.submit()
        for _ in range(2):
            self.finish(self.intake.end_job(JobId('j'), None))
        key = keys.work(world.SERVICE, JobId('j'))
        value = self.keys.entries_by_key[key].value
        self.assertTrue(job_store.decode_work(value).is_ended)
