from __future__ import annotations

import unittest

from processes import harness


class SilentConnectionTest(unittest.TestCase):
    def test_connection_between_instances_goes_silent_for_good(self):
        # Something between two instances loses track of their connections:
        # bytes are taken and go nowhere, while new connections work. A
        # caller whose charge must pass over one of them may be told that
        # the outcome is unknown, and gets its answer when it repeats the
        # charge, as a silent connection is noticed and another opened. No
        # charge runs twice.
        site = harness.Deployment(is_relayed=True)
        self.addCleanup(site.close)
        ticket = site.told(1)['ticket']
        before = site.call(0, 'charge', 'r0', ticket)
        self.assertEqual(before.status, 200, before.body)
        names = [instance['id'] for instance in site.places.instances]
        opened = sum(
            site.admin('relays', f'relays/{n}')['open'] for n in names
        )
        self.assertGreater(opened, 0)
        for name in names:
            order = {'mode': 'silence open'}
            site.admin('relays', f'relays/{name}/faults', order)
        for request_id in ('r1', 'r2'):
            harness.wait_for(
                lambda r=request_id: (
                    site.call(0, 'charge', r, ticket).status == 200
                ),
                f'{request_id} is answered',
            )
        for request_id in ('r0', 'r1', 'r2'):
            self.assertEqual(len(site.runs(request_id)), 1)
