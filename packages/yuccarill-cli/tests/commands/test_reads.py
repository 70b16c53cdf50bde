"""Test the commands that only read."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from nose2.tools import params

import fakes
from yuccarill.cli.exit_codes import ExitCode
from yuccarill.cli import transport
from yuccarill.core import errors

INSTANCE = {
    'id': 'entry-1',
    'data_centre': 'a',
    'host': '127.0.0.1',
    'http_port': 8100,
    'peer_port': 8200,
}
STATUS = {
    'instance': 'entry-1',
    'incarnation': 'i1',
    'revision': 2,
    'is_leaving': False,
    'instances': [INSTANCE, {**INSTANCE, 'id': 'entry-2'}],
    'targets': [{'id': 'e', 'in_flight': 2, 'weight_version': 7}],
    'trainers': [{'id': 't', 'holder': 'entry-2', 'open_steps': [4]}],
}
CURRENT = {
    'revision': 2,
    'change_id': 'c',
    'author': 'amina',
    'applied_at': 0.0,
    'inventory': {
        'models': [{'name': 'm'}],
        'engines': [
            {
                'id': 'e',
                'model': 'm',
                'address': '127.0.0.1:9',
                'data_centre': 'a',
            }
        ],
    },
}
ADDRESSES = {'addresses': [fakes.OTHER], 'valid_until': 5.0, 'ticket': 'x'}
AUDIT = {
    'changes': [
        {
            'base': 1,
            'revision': 2,
            'change_id': 'c',
            'author': 'amina',
            'at': 0.0,
            'result': 'applied',
            'entries': ['models m', 'models n'],
        }
    ],
    'previous': 1,
}
SURVEY = (STATUS, STATUS, transport.NotSent('refused'), CURRENT)


class ReadTest(unittest.TestCase):
    @params(
        (['addresses'], [ADDRESSES], f'{fakes.OTHER}\nValid until 1970'),
        (['show'], [CURRENT], 'Revision 2 by amina at 1970-01-01 00:00:00'),
        (['status'], SURVEY, 'No report of revision 2 from entry-2.'),
        (['audit'], [AUDIT], 'applied  c       models m, models n'),
        (['audit', '--last', '2'], [AUDIT], 'Earlier changes: --last 1'),
        (
            ['status'],
            SURVEY,
            'TRAINER  HOLDER   OPEN STEPS\nt        entry-2  4',
        ),
        (['explain', '1003'], [], 'What to do: Correct the name'),
    )
    def test_prints_text(
        self, arguments: list[str], answers: list[object], expected: str
    ) -> None:
        result = fakes.invoke(fakes.FakeTransport(*answers), *arguments)
        self.assertEqual(ExitCode.OK, result.exit_code, result.output)
        self.assertIn(expected, result.stdout)

    @params(
        (['addresses'], [ADDRESSES], 'valid_until', 5.0),
        (['show'], [CURRENT], 'author', 'amina'),
        (['status'], SURVEY, 'trainers', STATUS['trainers']),
        (['audit'], [AUDIT], 'previous', 1),
        (['explain', '1003'], [], 'name', 'UNKNOWN_SERVICE'),
    )
    def test_prints_json(
        self,
        arguments: list[str],
        answers: list[object],
        key: str,
        value: object,
    ) -> None:
        fake = fakes.FakeTransport(*answers)
        result = fakes.invoke(fake, *arguments, '--output', 'json')
        self.assertEqual(value, json.loads(result.stdout)[key])

    def test_status_merges_the_replies_of_instances(self) -> None:
        fake = fakes.FakeTransport(STATUS, STATUS, STATUS, CURRENT)
        result = fakes.invoke(fake, 'status', '--output', 'json')
        (target,) = json.loads(result.stdout)['targets']
        self.assertEqual(4, target['in_flight'])
        self.assertEqual(7, target['weight_version'])

    def test_next_address_is_tried(self) -> None:
        fake = fakes.FakeTransport(transport.NoReply('silent'), ADDRESSES)
        result = fakes.invoke(fake, 'addresses')
        self.assertEqual(ExitCode.OK, result.exit_code)

    @params(
        (transport.NotSent('refused'), ExitCode.UNREACHABLE, 'did not answer'),
        (transport.NoReply('cut'), ExitCode.UNREACHABLE, 'did not answer'),
        (
            transport.Reply(200, b'<html>'),
            ExitCode.UNREACHABLE,
            'not an instance of this version',
        ),
        (
            fakes.refusal(errors.StoreUnavailable('Down.')),
            ExitCode.REFUSED,
            '3001 STORE_UNAVAILABLE: Down.',
        ),
    )
    def test_failures_go_to_stderr(
        self, answer: object, code: ExitCode, expected: str
    ) -> None:
        fake = fakes.FakeTransport(answer, answer)
        result = fakes.invoke(fake, 'show')
        self.assertEqual(code, result.exit_code)
        self.assertIn(expected, result.stderr)
        self.assertEqual('', result.stdout)

    def test_unknown_code_is_refused(self) -> None:
        result = fakes.invoke(fakes.FakeTransport(), 'explain', '7')
        self.assertEqual(ExitCode.REFUSED, result.exit_code)


class FileTest(unittest.TestCase):
    @params(
        ('[[models]]\nname = "m"', ExitCode.OK, 'valid'),
        ('[[models]]\nname = 1\n[[x]]', ExitCode.INVALID, '2 faults'),
    )
    def test_check(self, text: str, code: ExitCode, expected: str) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'inventory.toml'
            file.write_text(text)
            result = fakes.invoke(fakes.FakeTransport(), 'check', str(file))
        self.assertEqual(code, result.exit_code)
        self.assertIn(expected, result.output)

    def test_diff(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'inventory.toml'
            file.write_text('[[models]]\nname = "n"')
            fake = fakes.FakeTransport(CURRENT)
            result = fakes.invoke(fake, 'diff', str(file))
        marks = [line.strip() for line in result.output.splitlines()]
        for expected in ('- m', '+ n', '- e', 'Apply the file with --base 2.'):
            self.assertIn(expected, marks)
