"""Test how the HTTP server handles bad input and draining."""

from __future__ import annotations

import json
from typing import Any
import unittest
from unittest import mock

from nose2.tools import params
from twisted.internet import address
from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure

from yuccarill.core.calls import ledger
from yuccarill.core import errors
from yuccarill.core.errors import ResultCode
from yuccarill.daemon.api import callers
from yuccarill.daemon.api import operators
from yuccarill.daemon.api import replies
from yuccarill.daemon.api import root
from yuccarill.daemon.api import site
from yuccarill.daemon.api import trainers

OVER = replies.MAX_BODY_BYTES + 1
STEPS = '/v1/trainers/t/steps'
CALL = '/v1/services/s/p'


def _request(
    line: str, *headers: str, body: bytes = b'', length: int | None = None
) -> bytes:
    size = len(body) if length is None else length
    lines = [f'{line} HTTP/1.1', 'Host: x', f'Content-Length: {size}']
    return '\r\n'.join([*lines, *headers, '', '']).encode('latin-1') + body


def _step(**changed: object) -> bytes:
    groups = [{'prompt': 'p', 'samples': 1}]
    step = {'step': 1, 'newest_version': 1, 'groups': groups}
    return json.dumps({**step, **changed}).encode()


class MemoryTransport:
    """Buffer written bytes; Twisted's own test transport imports trial."""

    def __init__(self) -> None:
        self.written = b''
        self.disconnecting = False

    def write(self, data: bytes) -> None:
        self.written += data

    def writeSequence(self, parts: list[bytes]) -> None:  # noqa: N802
        self.written += b''.join(parts)

    def loseConnection(self) -> None:  # noqa: N802
        self.disconnecting = True

    def getHost(self) -> address.IPv4Address:  # noqa: N802
        return address.IPv4Address('TCP', '127.0.0.1', 8100)

    getPeer = getHost  # noqa: N815

    def registerProducer(self, *_: object) -> None:  # noqa: N802
        """Do nothing; the producer is never paused."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Do nothing."""


class SiteTest(unittest.TestCase):
    def setUp(self) -> None:
        self.calls = mock.AsyncMock()
        tree = root.build(
            callers.CallerApi(self.calls, mock.Mock(), 5.0),
            trainers.TrainerApi(mock.AsyncMock()),
            operators.OperatorApi(mock.Mock(), mock.AsyncMock(), mock.Mock()),
        )
        self.channel = site.build(tree).buildProtocol(None)
        self.transport = MemoryTransport()
        self.channel.makeConnection(self.transport)
        self.addCleanup(self.channel.connectionLost, None)

    def _reply(self) -> tuple[int, dict[str, object]]:
        head, _, body = self.transport.written.partition(b'\r\n\r\n')
        return int(head.split()[1]), json.loads(body)

    @params(
        (_request('GET /nothing'), 404, ResultCode.UNKNOWN_PATH),
        (_request('GET /'), 404, ResultCode.UNKNOWN_PATH),
        (_request('GET /v1'), 404, ResultCode.UNKNOWN_PATH),
        (_request('GET /v1/nothing'), 404, ResultCode.UNKNOWN_PATH),
        (_request('GET /v1/operators'), 404, ResultCode.UNKNOWN_PATH),
        (_request('GET /v1/operators/x'), 404, ResultCode.UNKNOWN_PATH),
        (_request(f'GET {STEPS}/x'), 404, ResultCode.UNKNOWN_PATH),
        (_request('GET /v1/%ff'), 400, ResultCode.BAD_REQUEST),
        (_request('PUT /v1/addresses'), 405, ResultCode.WRONG_METHOD),
        (_request('BREW /v1/operators/status'), 405, ResultCode.WRONG_METHOD),
        (_request(f'POST {STEPS}', body=b'{'), 400, ResultCode.BAD_REQUEST),
        (_request(f'POST {STEPS}', body=b'[]'), 400, ResultCode.BAD_REQUEST),
        (
            _request(f'POST {STEPS}', body=b'[' * 100_000),
            400,
            ResultCode.BAD_REQUEST,
        ),
        (
            _request(f'POST {STEPS}', body=b'{"step":"1"}'),
            400,
            ResultCode.BAD_REQUEST,
        ),
        (_request(f'GET {STEPS}/{2**64}'), 404, ResultCode.UNKNOWN_PATH),
        *(
            (
                _request(f'POST {STEPS}', body=_step(**wrong)),
                400,
                ResultCode.BAD_REQUEST,
            )
            for wrong in (
                {'step': 2**70},
                {'newest_version': -1},
                {'groups': []},
                {'groups': [{'prompt': 'p', 'samples': 0}]},
                {'groups': [{'prompt': 'p', 'samples': 10**9}]},
                {'groups': [{'prompt': 'p', 'samples': 1, 'max_tokens': 0}]},
                {'groups': [{'prompt': 'p', 'samples': 4096}] * 17},
            )
        ),
        (
            _request('PUT /v1/operators/configuration', body=b'{"base":0}'),
            400,
            ResultCode.BAD_REQUEST,
        ),
        (_request(f'POST {CALL}'), 400, ResultCode.BAD_REQUEST),
        (
            _request(
                f'POST {CALL}',
                'Yuccarill-Request-Id: r',
                'Yuccarill-Timeout: nan',
            ),
            400,
            ResultCode.BAD_REQUEST,
        ),
        (
            _request(f'POST {CALL}', 'Yuccarill-Request-Id: \xff'),
            400,
            ResultCode.BAD_REQUEST,
        ),
        (_request(f'POST {CALL}', length=OVER), 413, ResultCode.BODY_TOO_LONG),
    )
    def test_refuses(self, sent: bytes, status: int, code: int) -> None:
        self.channel.dataReceived(sent)
        got, body = self._reply()
        self.assertEqual((status, code), (got, body['code']))
        self.calls.run.assert_not_called()

    # Guard against a chunked body without end that fills the memory.
    def test_refuses_an_endless_body_while_it_arrives(self) -> None:
        head = f'POST {CALL} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked'
        self.channel.dataReceived(head.encode() + b'\r\n\r\n')
        chunk = b'100000\r\n' + b'x' * 0x100000 + b'\r\n'
        for _ in range(OVER // 0x100000):
            self.channel.dataReceived(chunk)
        self.assertEqual(b'', self.transport.written)
        self.channel.dataReceived(chunk + chunk)
        status, body = self._reply()
        self.assertEqual(
            (413, ResultCode.BODY_TOO_LONG), (status, body['code'])
        )
        self.assertTrue(self.transport.disconnecting)

    @params(
        b'\x00\xff\r\n\r\n', b'GET\r\n\r\n', b'GET / HTTP/1.1\r\n:\r\n\r\n'
    )
    def test_closes_on_what_is_not_http(self, sent: bytes) -> None:
        self.channel.dataReceived(sent)
        self.assertTrue(self.transport.disconnecting)

    @params((errors.Overloaded('Full.', 1.4), 503), (ValueError('x'), 500))
    def test_answers_what_handlers_raise(
        self, raised: Exception, status: int
    ) -> None:
        self.calls.run.side_effect = raised
        self.channel.dataReceived(
            _request(f'POST {CALL}', 'Yuccarill-Request-Id: r')
        )
        got, body = self._reply()
        self.assertEqual(status, got)
        self.assertNotIn('x', str(body['message']))

    def _site(self) -> Any:
        return self.channel.site

    def test_counts_a_request_from_head_to_end(self) -> None:
        # Guard against a shutdown that ends while a request body arrives or an
        # answer is pending.
        answer: defer.Deferred = defer.Deferred()

        async def run(call: object) -> object:
            return await answer

        self.calls.run.side_effect = run
        data = _request(
            f'POST {CALL}', 'Yuccarill-Request-Id: r', body=b'body'
        )
        for part in (data[:-2], data[-2:]):
            self.channel.dataReceived(part)
            self.assertEqual(1, self._site().in_flight)
        answer.callback(ledger.Answer(200, 'text/plain', b'done'))
        self.assertEqual(0, self._site().in_flight)
        self.assertFalse(self.transport.disconnecting)

    def test_lost_connection_is_no_longer_in_flight(self) -> None:
        self.channel.dataReceived(_request(f'POST {CALL}', length=9))
        self.channel.connectionLost(failure.Failure(error.ConnectionLost()))
        self.assertEqual(0, self._site().in_flight)

    def test_leaving_closes_connections_after_an_answer(self) -> None:
        # A persistent connection could deliver a request just as the process
        # exits.
        self._site().is_leaving = True
        self.channel.dataReceived(_request('GET /nothing'))
        self.assertIn(b'Connection: close', self.transport.written)
        self.assertTrue(self.transport.disconnecting)

    @params(
        ((), True, ResultCode.NOT_RUN),
        (('Yuccarill-Ticket: t',), False, ResultCode.OUTCOME_UNKNOWN),
    )
    def test_refuses_after_a_second_signal(self, headers, not_run, code):
        # With a ticket an earlier attempt may have run, so the refusal must
        # not say that nothing ran.
        self._site().is_refusing = True
        self.channel.dataReceived(_request(f'POST {CALL}', *headers))
        _, reply = self._reply()
        self.assertEqual((not_run, code), (reply['not_run'], reply['code']))
        self.assertEqual(0, self.calls.run.call_count)
