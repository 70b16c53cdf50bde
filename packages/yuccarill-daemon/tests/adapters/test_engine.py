"""Test how an engine's stream is read and abandoned."""

from __future__ import annotations

from typing import Any
import unittest

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task
from twisted.web import http_headers

from yuccarill.core import errors
from yuccarill.daemon.adapters import engine

CHUNK = b'{"weight_version": 2, "tokens": [7, 8]}\n'
DONE = b'{"done": true}\n'


class _Transport:
    is_open = True

    def loseConnection(self) -> None:  # noqa: N802
        self.is_open = False


class _Response:
    def __init__(self, code: int = 200) -> None:
        self.code = code
        self.headers = http_headers.Headers()
        self.transport = _Transport()
        self.reader: Any = None

    def deliverBody(self, reader: Any) -> None:  # noqa: N802
        self.reader = reader
        reader.makeConnection(self.transport)


class _Client:
    def __init__(self, response: _Response) -> None:
        self._response = response

    async def request(self, *args: Any, **kwargs: Any) -> _Response:
        return self._response


class EngineAdapterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = task.Clock()
        self.chunks: list[engine.Chunk] = []
        self.outcome: list[Any] = []

    def _generate(self, response: _Response) -> defer.Deferred[Any]:
        adapter = engine.EngineAdapter(_Client(response), self.clock)
        generating = defer.ensureDeferred(
            adapter.generate('a:1', {}, 600.0, self.chunks.append)
        )
        return generating.addBoth(self.outcome.append)

    @params(
        b'{"note":' + b'[' * 100_000 + b']' * 100_000 + b'}\n',
        b'{"tokens": [%s]}\n' % (b'9' * 400),
    )
    def test_a_line_that_cannot_be_decoded(self, line: bytes) -> None:
        """Guard against an unexpected error of the decoder."""
        response = _Response()
        self._generate(response)
        response.reader.dataReceived(line)
        response.reader.connectionLost(None)
        self.assertFalse(response.transport.is_open)
        self.assertEqual([], self.chunks)

    def test_whole_stream(self) -> None:
        response = _Response()
        self._generate(response)
        for part in (CHUNK[:10], CHUNK[10:] + CHUNK, DONE):
            self.clock.advance(4.0)
            response.reader.dataReceived(part)
        response.reader.connectionLost(None)
        self.assertEqual([None], self.outcome)
        self.assertEqual([(7, 8)] * 2, [c.tokens for c in self.chunks])
        self.assertEqual([], self.clock.getDelayedCalls())

    @params(b'', CHUNK)
    def test_silent_connection(self, received: bytes) -> None:
        # Guard against a connection that stays open without data. Chunks that
        # arrive after the timeout must be ignored: another engine has resumed.
        response = _Response()
        self._generate(response)
        if received:
            response.reader.dataReceived(received)
        self.clock.advance(engine.PROGRESS_SECONDS + 0.1)
        self.assertIsInstance(self.outcome[0].value, errors.AnswerCut)
        self.assertFalse(response.transport.is_open)
        before = len(self.chunks)
        response.reader.dataReceived(CHUNK)
        response.reader.connectionLost(None)
        self.assertEqual(before, len(self.chunks))

    def test_cancelled_stream_is_closed(self) -> None:
        # The engine continues a cancelled generation until its connection is
        # closed.
        response = _Response()
        generating = self._generate(response)
        response.reader.dataReceived(CHUNK)
        generating.cancel()
        self.assertFalse(response.transport.is_open)
        self.assertEqual([], self.clock.getDelayedCalls())

    @params(
        (200, CHUNK, errors.AnswerCut),
        (200, b'{"weight_version": "x"}\n', errors.AnswerCut),
        (503, b'', errors.NotRun),
    )
    def test_broken_stream(
        self, code: int, data: bytes, expected: type[Exception]
    ) -> None:
        response = _Response(code)
        self._generate(response)
        if response.reader is not None:
            response.reader.dataReceived(data)
            response.reader.connectionLost(None)
        self.assertIsInstance(self.outcome[0].value, expected)
