"""Test the usage command."""

from __future__ import annotations

import json
import unittest

import fakes

USAGE = {
    'holder': 'n1',
    'is_here': True,
    'following': 9,
    'sent_through': 7,
    'reports': [{'window': 7, 'requests': 35}, {'window': 8, 'requests': 36}],
}


class UsageTest(unittest.TestCase):
    def test_reports_are_listed(self) -> None:
        fake = fakes.FakeTransport(USAGE)
        result = fakes.invoke(fake, 'usage')
        self.assertEqual([(fakes.ADDRESS, 'GET', '/usage')], fake.sent)
        lines = result.output.splitlines()
        self.assertEqual('holder: n1', lines[0])
        self.assertEqual(['7', '35', 'yes'], lines[2].split())
        self.assertEqual(['8', '36', 'no'], lines[3].split())

    def test_other_instance_names_only_the_holder(self) -> None:
        fake = fakes.FakeTransport({**USAGE, 'is_here': False})
        result = fakes.invoke(fake, 'usage')
        self.assertEqual('holder: n1\n', result.output)

    def test_json_output(self) -> None:
        fake = fakes.FakeTransport(USAGE)
        result = fakes.invoke(fake, 'usage', '--output', 'json')
        self.assertEqual(USAGE, json.loads(result.output))
