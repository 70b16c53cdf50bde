"""Test how response bodies are collected."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.daemon.adapters import http_exchange


class StreamSinkTest(unittest.TestCase):
    @params(((), b''), ((b'ab',), b'ab'), ((b'a', b'b', b'c'), b'abc'))
    def test_a_body_is_joined_once(
        self, parts: tuple[bytes, ...], expected: bytes
    ) -> None:
        """Guard against copying a long body at each access."""
        sink = http_exchange.ResponseSink()
        for part in parts:
            sink.receive(part)
        self.assertEqual(expected, sink.body)
        self.assertIs(sink.body, sink.body)
