"""Test the command that shows and releases what is in quarantine."""

from __future__ import annotations

import json
import unittest

import fakes
from yuccarill.cli.exit_codes import ExitCode
from yuccarill.core import errors

SHOWN = [
    {
        'content': 'ab12',
        'request': 'site.example/ask',
        'targets': ['t1', 't2', 't3'],
        'seconds_left': 3599.6,
    }
]
PATH = '/quarantine/contents'


class QuarantineTest(unittest.TestCase):
    def test_it_is_listed(self) -> None:
        fake = fakes.FakeTransport(SHOWN)
        found = fakes.invoke(fake, 'quarantine')
        self.assertEqual([(fakes.ADDRESS, 'GET', PATH)], fake.sent)
        for text in ('ab12', 'site.example/ask', '3600', 't1, t2, t3'):
            self.assertIn(text, found.output)

    def test_it_is_released(self) -> None:
        fake = fakes.FakeTransport([])
        found = fakes.invoke(
            fake, 'quarantine', '--release', 'ab12', '--output', 'json'
        )
        self.assertEqual(
            [(fakes.ADDRESS, 'DELETE', f'{PATH}/ab12')], fake.sent
        )
        self.assertEqual([], json.loads(found.output))

    def test_what_is_not_there_is_told(self) -> None:
        refused = fakes.refusal(errors.UnknownPath('No such content.'))
        found = fakes.invoke(
            fakes.FakeTransport(refused), 'quarantine', '--release', 'x'
        )
        self.assertEqual(ExitCode.REFUSED, found.exit_code)
        self.assertIn('No such content.', found.output)
