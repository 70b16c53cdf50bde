"""Test the causes that are reported for failed requests."""

from __future__ import annotations

import unittest

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure
from twisted.web import client

from yuccarill.daemon.adapters import http

LOST = client.ResponseNeverReceived([failure.Failure(error.ConnectionLost())])
CANCELLED = client.ResponseNeverReceived(
    [failure.Failure(defer.CancelledError())]
)


class CauseTest(unittest.TestCase):
    @params(
        (CANCELLED, 'no reply in time'),
        (LOST, 'Connection to the other side was lost in a non-clean fashion'),
        (defer.TimeoutError(), 'no reply in time'),
        (ValueError('bad body.'), 'bad body'),
        (ValueError(), 'ValueError'),
    )
    def test_names_the_cause(self, raised: Exception, expected: str) -> None:
        self.assertEqual(expected, http.cause(raised))
