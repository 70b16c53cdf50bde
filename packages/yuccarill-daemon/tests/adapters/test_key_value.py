"""Test answers of the key-value service that cannot be read."""

from __future__ import annotations

from typing import Any
import unittest
from unittest import mock

from nose2.tools import params
from twisted.internet import defer
from twisted.web import http_headers

from yuccarill.core import errors
from yuccarill.daemon.adapters import http
from yuccarill.daemon.adapters import key_value


class _Client:
    def __init__(self, version: str) -> None:
        self._version = version

    async def request(self, *args: Any, **kwargs: Any) -> mock.Mock:
        headers = http_headers.Headers({'X-Version': [self._version]})
        return mock.Mock(code=200, headers=headers)


class MalformedAnswerTest(unittest.TestCase):
    """Guard against an error that callers do not retry."""

    @params(
        ('1', b'{}'),
        ('1', b'[1]'),
        ('1', b'[' * 100_000),
        ('1', b'{"version": %s}' % (b'9' * 400)),
    )
    def test_writes(self, version: str, content: bytes) -> None:
        self.assert_unavailable(version, content, 'swap', 'k', b'v', 0)

    @params('x', '-1', '9' * 400, '9' * 5000)
    def test_reads(self, version: str) -> None:
        self.assert_unavailable(version, b'', 'get', 'k')

    def assert_unavailable(
        self, version: str, content: bytes, name: str, *args: object
    ) -> None:
        async def body(*_: object) -> bytes:
            return content

        adapter = key_value.KeyValueAdapter(_Client(version), 'a:1')
        with mock.patch.object(http, 'body', body):
            calling = defer.ensureDeferred(getattr(adapter, name)(*args))
        caught: list[Any] = []
        calling.addErrback(caught.append)
        self.assertTrue(caught[0].check(errors.StoreUnavailable))
