"""Test the command that shows reports of usage."""

from __future__ import annotations

import json
import unittest

import fakes

SHOWN = {
    'holder': 'n1',
    'is_here': True,
    'following': 9,
    'sent_through': 7,
    'reports': [{'window': 7, 'requests': 35}, {'window': 8, 'requests': 36}],
}


class UsageTest(unittest.TestCase):
    def test_reports_are_listed(self) -> None:
        fake = fakes.FakeTransport(SHOWN)
        found = fakes.invoke(fake, 'usage')
        self.assertEqual([(fakes.ADDRESS, 'GET', '/usage')], fake.sent)
        lines = found.output.splitlines()
        self.assertEqual('holder: n1', lines[0])
        self.assertEqual(['7', '35', 'yes'], lines[2].split())
        self.assertEqual(['8', '36', 'no'], lines[3].split())

    def test_another_instance_only_names_the_holder(self) -> None:
        fake = fakes.FakeTransport({**SHOWN, 'is_here': False})
        found = fakes.invoke(fake, 'usage')
        self.assertEqual('holder: n1\n', found.output)

    def test_it_is_had_as_json(self) -> None:
        fake = fakes.FakeTransport(SHOWN)
        found = fakes.invoke(fake, 'usage', '--output', 'json')
        self.assertEqual(SHOWN, json.loads(found.output))
