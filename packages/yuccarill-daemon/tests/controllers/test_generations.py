"""Test interrupted, silent and abandoned streams of model calls."""

from __future__ import annotations

from typing import Any
import unittest

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from controllers import call_world
from yuccarill.core import errors
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import WeightVersion
from yuccarill.daemon.adapters import token_stream

MODEL = ModelName('m')
WHOLE = tuple(range(8))


class Engines:
    """Generate tokens and end as scripted."""

    def __init__(self) -> None:
        self.ends: list[tuple[int, Exception | None]] = []
        self.sent: list[tuple[str, dict[str, Any]]] = []
        self.cancelled = 0

    async def generate(
        self,
        address: str,
        request: Any,
        seconds: float,
        on_chunk: Any,
        on_report: Any,
    ) -> None:
        self.sent.append((address, request))
        position = len(request['resume_tokens'])
        until, error = self.ends.pop(0)
        for token in WHOLE[position:until]:
            on_chunk(token_stream.Chunk(WeightVersion(1), (token,)))
        if error is None:
            return
        if isinstance(error, TimeoutError):
            await defer.Deferred(self._cancel)
        raise error

    def _cancel(self, waiting: defer.Deferred[None]) -> None:
        self.cancelled += 1
        waiting.errback(errors.AnswerCut('cancelled'))


CUT = errors.AnswerCut('cut')
NOT_RUN = errors.NotRun('refused')


class GenerationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engines = Engines()
        self.world = call_world.World(engines=self.engines)
        self.tokens: list[int] = []

    def generate(
        self, *ends: tuple[int, Exception | None]
    ) -> call_world.Result:
        self.engines.ends = list(ends)
        calls = self.world.calls[InstanceId('a')]
        return call_world.Result(
            calls.generate(
                None,
                MODEL,
                {'request_id': 'r', 'prompt': 'p', 'max_tokens': 8},
                10.0,
                lambda chunk: self.tokens.extend(chunk.tokens),
            )
        )

    @params(0, 1, 5, 7)
    def test_resumes_on_another_engine_from_the_tokens_so_far(
        self, cut: int
    ) -> None:
        # Guards against lost or duplicate tokens when an engine fails during
        # an answer.
        result = self.generate((cut, CUT), (8, None))
        self.assertIsNone(result.error)
        self.assertEqual(list(WHOLE), self.tokens)
        first, second = self.engines.sent
        self.assertNotEqual(first[0], second[0])
        self.assertEqual(cut, len(second[1]['resume_tokens']))

    def test_survives_two_cuts(self) -> None:
        self.generate((3, CUT), (5, CUT), (8, None))
        self.assertEqual(list(WHOLE), self.tokens)

    def test_ends_with_an_error_when_no_engine_is_left(self) -> None:
        # Guards against reporting a partly delivered call as not run.
        result = self.generate((3, CUT), (5, CUT), (5, NOT_RUN))
        self.assertIsInstance(result.error, errors.AnswerCut)

    def test_disconnected_caller_stops_generation(self) -> None:
        # Guards against engines generating an answer for a disconnected
        # caller.
        result = self.generate((3, TimeoutError()), (8, None))
        result.deferred.cancel()
        self.assertEqual(1, self.engines.cancelled)
        self.assertEqual(1, len(self.engines.sent))

    def test_same_prompt_goes_to_the_same_engine(self) -> None:
        for _ in range(5):
            self.generate((8, None))
        self.assertEqual(1, len({address for address, _ in self.engines.sent}))


class TokenStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = task.Clock()
        self.tokens: list[int] = []
        self.error: Any = None
        self.stream = token_stream.TokenStream(
            lambda chunk: self.tokens.extend(chunk.tokens), 5.0, self.clock
        )
        transport = call_world.Transport()
        transport.disconnect = self.lose
        self.stream.makeConnection(transport)
        self.stream.finished.addErrback(self._fail)

    def _fail(self, reason: Any) -> None:
        self.error = reason.value

    def lose(self, reason: Exception) -> None:
        self.stream.connectionLost(failure.Failure(reason))

    def test_silence_is_found_and_the_connection_closed(self) -> None:
        self.stream.dataReceived(b'{"tokens": [1]}\n')
        self.clock.advance(4.9)
        self.stream.dataReceived(b'{"tokens": [2]}\n')
        self.clock.advance(4.9)
        self.assertIsNone(self.error)
        self.clock.advance(0.2)
        self.assertIsInstance(self.error, errors.AnswerCut)
        self.stream.dataReceived(b'{"tokens": [3]}\n')
        self.assertEqual([1, 2], self.tokens)

    @params(b'', b'{"tokens": [1]}\n', b'{"tokens": [1]}\n{"done": tr')
    def test_an_end_before_done_is_a_cut(self, data: bytes) -> None:
        self.stream.dataReceived(data)
        self.lose(ConnectionError())
        self.assertIsInstance(self.error, errors.AnswerCut)

    def test_done_makes_it_whole_across_any_cut_of_the_bytes(self) -> None:
        for byte in b'{"tokens": [1, 2]}\n{"done": true}\n':
            self.stream.dataReceived(bytes([byte]))
        self.lose(ConnectionError())
        self.assertIsNone(self.error)
        self.assertEqual([1, 2], self.tokens)
