"""Test the capacity command."""

from __future__ import annotations

import unittest

import fakes

PATH = '/capacity/services'
SERVICES = [
    {
        'service': 'shop',
        'is_congested': True,
        'broker': 'node-7',
        'places': 18,
        'in_flight': 3,
        'service_seconds': 0.125,
        'classes': [
            {
                'priority': 5,
                'account': 'mill',
                'offered': 8.25,
                'lent': 1.5,
                'refused': 6.75,
                'waiting': 2,
                'predicted_wait': None,
            }
        ],
        'capacity': 144.0,
        'lent': 131.0,
        'fleet': [{'priority': 5, 'account': None, 'offered': 77.5}],
    }
]


class CapacityTest(unittest.TestCase):
    def test_capacity_and_accounts_are_shown(self) -> None:
        fake = fakes.FakeTransport(SERVICES)
        result = fakes.invoke(fake, 'capacity')
        self.assertEqual([(fakes.ADDRESS, 'GET', PATH)], fake.sent)
        for text in ('shop', 'node-7', '144', '131', 'mill', '6.75'):
            self.assertIn(text, result.output)
        for text in ('the others', '77.5', 'all'):
            self.assertIn(text, result.output)
