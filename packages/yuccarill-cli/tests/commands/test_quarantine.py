"""Test the quarantine command."""

from __future__ import annotations

import json
import unittest

import fakes
from yuccarill.cli.exit_codes import ExitCode
from yuccarill.core import errors

QUARANTINED = [
    {
        'content': 'ab12',
        'request': 'site.example/ask',
        'targets': ['t1', 't2', 't3'],
        'seconds_left': 3599.6,
    }
]
PATH = '/quarantine/contents'


class QuarantineTest(unittest.TestCase):
    def test_contents_are_listed(self) -> None:
        fake = fakes.FakeTransport(QUARANTINED)
        result = fakes.invoke(fake, 'quarantine')
        self.assertEqual([(fakes.ADDRESS, 'GET', PATH)], fake.sent)
        for text in ('ab12', 'site.example/ask', '3600', 't1, t2, t3'):
            self.assertIn(text, result.output)

    def test_content_is_released(self) -> None:
        fake = fakes.FakeTransport([])
        result = fakes.invoke(
            fake, 'quarantine', '--release', 'ab12', '--output', 'json'
        )
        self.assertEqual(
            [(fakes.ADDRESS, 'DELETE', f'{PATH}/ab12')], fake.sent
        )
        self.assertEqual([], json.loads(result.output))

    def test_unknown_content_is_refused(self) -> None:
        refused = fakes.refusal(errors.UnknownPath('No such content.'))
        result = fakes.invoke(
            fakes.FakeTransport(refused), 'quarantine', '--release', 'x'
        )
        self.assertEqual(ExitCode.REFUSED, result.exit_code)
        self.assertIn('No such content.', result.output)
