"""Test which instance or store answers a trainer's call."""

from __future__ import annotations

import dataclasses

from nose2.tools import params
from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.gateway.requests import ClientRequest
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.jobs.job import JobId
from yuccarill.daemon.gateway.jobs import trainers
from yuccarill.daemon.gateway.requests import relay
from yuccarill.platform import ports

from . import world

QUERY = ports.ResultsQuery(job=JobId('j'), first=0, wait=0.0)


def request(*headers: tuple[str, str]) -> ClientRequest:
    return ClientRequest(
        id=RequestId('j'),
        method='GET',
        host='t.example',
        path='/x',
        target='/x',
        headers=headers,
        body=b'',
        arrived_at=Instant(0.0),
    )


class Runner:
    """Answer a read once `waiting` is called back."""

    def __init__(self, body: bytes | None) -> None:
        self.body = body
        self.job_cache = self
        self.waiting: defer.Deferred = defer.Deferred()

    async def read_results(
        self, query: object, account: object
    ) -> bytes | None:
        await self.waiting
        return self.body


@dataclasses.dataclass
class Peers:
    """Simulate the relay to the holder."""

    answer: TargetAnswer | None = None
    calls: int = 0

    def holder_of_job(self, host: str, job: str) -> object:
        return 'holder' if self.answer else None

    def peer(self) -> object:
        return 'peer'

    async def send(self, *_: object) -> TargetAnswer | None:
        self.calls += 1
        return self.answer


class Intake:
    """Simulate answers from the store."""

    async def read_results(self, query: object, account: object) -> bytes:
        return b'store'


class TrainerCallHandlerTest(world.WorldTest):
    def test_runners_can_change_while_a_reader_waits(self) -> None:
        """Guard against a failed read when this instance gets a new duty."""
        first = Runner(None)
        runners = {'a': first}
        handler = trainers.TrainerCallHandler(
            Intake(), Peers(), runners.values
        )
        reading = defer.Deferred.fromCoroutine(handler.serve(QUERY, request()))
        runners['b'] = Runner(b'other')
        first.waiting.callback(None)
        self.assertEqual(b'store', reading.result.body)

    def test_the_holder_is_called_first(self) -> None:
        answer = TargetAnswer(
            status=200, headers=(), body=b'h', signature=None
        )
        handler = trainers.TrainerCallHandler(
            Intake(), Peers(answer), dict().values
        )
        found = self.finish(handler.serve(QUERY, request()))
        self.assertEqual(b'h', found.body)

    def test_a_relayed_call_is_not_relayed_again(self) -> None:
        answer = TargetAnswer(
            status=200, headers=(), body=b'h', signature=None
        )
        peers = Peers(answer)
        handler = trainers.TrainerCallHandler(Intake(), peers, dict().values)
        found = self.finish(handler.serve(QUERY, request((relay.HEADER, '1'))))
        self.assertEqual((b'store', 0), (found.body, peers.calls))

    def test_the_store_answers_if_the_holder_fails(self) -> None:
        answer = TargetAnswer(status=503, headers=(), body=b'', signature=None)
        handler = trainers.TrainerCallHandler(
            Intake(), Peers(answer), dict().values
        )
        found = self.finish(handler.serve(QUERY, request()))
        self.assertEqual(b'store', found.body)

    # Error of the own end, answer of the peer, and the error of the call.
    @params(
        (errors.StoreUnavailable, 503, errors.StoreUnavailable),
        (errors.StoreUnavailable, None, errors.OutcomeUnknown),
        (errors.StoreUnavailable, 502, errors.OutcomeUnknown),
        (errors.OutcomeUnknown, 503, errors.OutcomeUnknown),
        (errors.OutcomeUnknown, 200, None),
        (errors.StoreUnavailable, 200, None),
    )
    def test_an_end_is_refused_only_if_nobody_may_have_written_it(
        self,
        own: type[errors.YuccarillError],
        status: int | None,
        expected: type[Exception] | None,
    ) -> None:
        """Guard against an end that is refused as not run and takes effect."""

        class Ending(Intake):
            async def end_job(self, *_: object) -> None:
                raise own('x')

        peers = Peers(
            None
            if status is None
            else TargetAnswer(
                status=status, headers=(), body=b'', signature=None
            )
        )
        handler = trainers.TrainerCallHandler(Ending(), peers, dict().values)
        serving = handler.serve(ports.JobEnd(job=JobId('j')), request())
        if expected is None:
            self.assertEqual(200, self.finish(serving).status)
            return
        with self.assertRaises(expected):
            self.finish(serving)
