from __future__ import annotations

import copy
import signal
import threading
import time
import unittest

from processes import harness

SLOW_SECONDS = 1.5
LEAVING_SECONDS = 3.0
WATCHED_SECONDS = 1.0


# Each test stops at most one instance, each time a different one.
KILLED = 1
STOPPED = 2
STAYING = (0, 3)


class LeavingTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.site = harness.Deployment(4, flags=['--address-validity', '1'])
        cls.addClassCleanup(cls.site.close)

    def test_graceful_stop_cuts_nothing(self):
        # Guards against requests and streams in flight that are cut by a
        # graceful stop, and against an exit before they complete.
        self.site.set_target_faults({'seconds_per_call': SLOW_SECONDS})
        self.addCleanup(
            self.site.set_target_faults, {'seconds_per_call': 0.002}
        )
        for engine in self.site.layout.inventory['engines']:
            changes = {'seconds_per_chunk': SLOW_SECONDS / 8}
            self.site.admin(engine['address'], 'faults', changes)
        ticket = self.site.address_reply(STOPPED)['ticket']
        asked = [
            self.site.pool.submit(self.site.call, STOPPED, 'look-up', f's{n}')
            for n in range(6)
        ]
        asked.append(
            self.site.pool.submit(
                self.site.call, STOPPED, 'charge', 's6', ticket
            )
        )
        for n in range(7):
            harness.wait_for(lambda n=n: self.site.runs(f's{n}'), 'calls run')
        stream = self.site.pool.submit(self._generate, STOPPED)
        harness.wait_for(self._generates, 'an engine generates')
        self.site.signal(STOPPED, signal.SIGTERM)
        leaving = self.site.addresses[STOPPED]
        for number in STAYING:
            harness.wait_for(
                lambda n=number: (
                    leaving not in self.site.address_reply(n)['addresses']
                ),
                'the stopping instance is no longer listed',
            )
        statuses = [future.result().status for future in asked]
        self.assertEqual(statuses, [200] * 7)
        self.assertTrue(stream.result().body.endswith(b'{"done":true}\n'))
        self.assertEqual(self.site.exit_code(STOPPED), 0)

    def test_killed_instance_is_no_longer_listed(self):
        # Guards against addresses of a dead instance that the platform still
        # lists as live: its peers detect the failure.
        self.site.kill(KILLED)
        dead = self.site.addresses[KILLED]
        for number in STAYING:
            reply = self.site.call(number, 'look-up', f'k{number}')
            self.assertEqual(reply.status, 200, reply.body)
            harness.wait_for(
                lambda n=number: (
                    dead not in self.site.address_reply(n)['addresses']
                ),
                'the dead instance is no longer listed',
            )

    def test_removed_target_gets_no_work(self):
        # Guards against new work for a target after its removal from the
        # inventory, and against failed calls during the change.
        stop_event = threading.Event()
        self.addCleanup(stop_event.set)
        callers = [
            self.site.pool.submit(self._call_until, stop_event, number)
            for number in STAYING
        ]
        inventory = copy.deepcopy(self.site.layout.inventory)
        harness.wait_for(self.site.runs, 'a target is in use')
        removed = max(
            inventory['targets'], key=lambda t: len(self._received(t))
        )
        inventory['targets'].remove(removed)
        self.site.apply(inventory, base=1, expect=200)
        accepted_at = time.time()
        time.sleep(LEAVING_SECONDS + WATCHED_SECONDS)
        stop_event.set()
        statuses = {status for c in callers for status in c.result()}
        self.assertEqual(statuses, {200})
        late = [
            at
            for at in self._received(removed)
            if at > accepted_at + LEAVING_SECONDS
        ]
        self.assertEqual(late, [])

    def _call_until(self, stop_event, number):
        statuses = []
        while not stop_event.is_set():
            request_id = f'{number}-{len(statuses)}'
            reply = self.site.call(number, 'look-up', request_id)
            statuses.append(reply.status)
        return statuses

    def _received(self, target):
        runs = self.site.admin(target['address'], 'runs')
        return [run['received_at'] for run in runs]

    def _generate(self, number):
        model = self.site.layout.inventory['models'][0]['name']
        return harness.send(
            'POST',
            f'http://{self.site.addresses[number]}/v1/models/{model}/generate',
            {'prompt': 'p', 'max_tokens': 32},
            {'Yuccarill-Request-Id': 'g'},
        )

    def _generates(self):
        engines = self.site.layout.inventory['engines']
        return any(self.site.admin(e['address'], 'runs') for e in engines)
