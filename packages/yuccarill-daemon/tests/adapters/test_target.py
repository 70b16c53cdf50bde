"""Test calls to targets and the errors of failed calls."""

from __future__ import annotations

import unittest

from nose2.tools import params

from controllers import call_world
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.daemon.adapters import target


class TargetAdapterTest(unittest.TestCase):
    @params((False, errors.NotRun), (True, errors.OutcomeUnknown))
    def test_reports_not_run_only_before_the_connection_is_open(
        self, is_open: bool, expected: type[Exception]
    ) -> None:
        # Once the connection was open, the target can have run the request.
        world = call_world.World()
        adapter = target.TargetAdapter(world.now, world.reactor)
        request = _request('charges')
        calling = adapter.call('127.0.0.1:81', request, lambda _: None)
        result = call_world.Result(calling)
        connection = world.connection()
        assert connection is not None
        if is_open:
            connection.open()
        connection.lose()
        self.assertIs(expected, type(result.error))

    @params('000', '099', '600', '999', '20', '2000')
    def test_a_number_that_is_no_status_is_no_answer(
        self, status: str
    ) -> None:
        """Guard against a number as a status that reaches a caller."""
        world = call_world.World()
        adapter = target.TargetAdapter(world.now, world.reactor)
        calling = adapter.call(
            '127.0.0.1:81', _request('charges'), lambda _: None
        )
        result = call_world.Result(calling)
        connection = world.connection()
        assert connection is not None
        connection.open()
        connection.reply(
            f'HTTP/1.1 {status} OK\r\nContent-Length: 2\r\n\r\nok'.encode()
        )
        self.assertIs(errors.OutcomeUnknown, type(result.error))


class TargetRequestTest(unittest.TestCase):
    @params(
        ('charges', '', 'http://h:1/charges'),
        ('charges?free', '', 'http://h:1/charges%3Ffree'),
        ('a b#c', 'x=%20', 'http://h:1/a%20b%23c?x=%20'),
    )
    def test_url_reaches_the_path_that_was_checked(
        self, path: str, query: str, expected: str
    ) -> None:
        self.assertEqual(expected, _request(path, query).url('h:1'))


def _request(path: str, query: str = '') -> target.TargetRequest:
    return target.TargetRequest(
        request_id=RequestId('r'),
        path=path,
        query=query,
        content_type='',
        body=b'',
        connect_deadline=Instant(1.0),
        answer_deadline=Instant(1.0),
    )
