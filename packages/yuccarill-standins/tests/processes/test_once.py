from __future__ import annotations

from concurrent import futures
import signal
import unittest

from processes import harness

OUTCOME_UNKNOWN = 1301
# Each test disrupts a different home instance.
KILLED = 0
PAUSED = 2
SLOW_SECONDS = 1.0
REPEATED = ('r1', 'r2')


class OnceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # Detection of a silent connection takes seconds, so this scenario runs
        # concurrently in its own deployment.
        pool = futures.ThreadPoolExecutor(1)
        cls.addClassCleanup(pool.shutdown)
        cls.silenced = pool.submit(_charge_over_silence)
        cls.site = harness.Deployment()
        cls.addClassCleanup(cls.site.close)
        cls.site.set_target_faults({'seconds_per_call': SLOW_SECONDS})

    def test_home_is_killed_while_its_charge_runs(self):
        # Guards against a second charge after the home instance, which holds
        # the only record of the first, is killed. The outcome is unknown.
        ticket = self.site.address_reply(KILLED)['ticket']
        first = self.site.pool.submit(
            self.site.call, KILLED, 'charge', 'k1', ticket
        )
        harness.wait_for(lambda: self.site.runs('k1'), 'the charge runs')
        self.site.kill(KILLED)
        self.assertEqual(first.result().status, 0)
        for number in (1, PAUSED, 1):
            reply = self.site.call(number, 'charge', 'k1', ticket)
            self.assertEqual(reply.code, OUTCOME_UNKNOWN, reply.body)
            self.assertFalse(reply.json['not_run'])
        self.assertEqual(len(self.site.runs('k1')), 1)

    def test_home_is_paused_while_its_charge_is_repeated(self):
        # Guards against a second charge while the home instance is paused. A
        # repeat after the pause gets the answer of the first run.
        ticket = self.site.address_reply(PAUSED)['ticket']
        first = self.site.pool.submit(
            self.site.call, PAUSED, 'charge', 'p1', ticket
        )
        harness.wait_for(lambda: self.site.runs('p1'), 'the charge runs')
        self.site.signal(PAUSED, signal.SIGSTOP)
        reply = self.site.call(1, 'charge', 'p1', ticket)
        self.assertEqual(reply.code, OUTCOME_UNKNOWN, reply.body)
        self.site.signal(PAUSED, signal.SIGCONT)
        answer = first.result()
        self.assertEqual(answer.status, 200, answer.body)
        repeat = harness.wait_for(
            lambda: self._answer(1, 'p1', ticket), 'the repeat is answered'
        )
        self.assertEqual(repeat.body, answer.body)
        self.assertEqual(len(self.site.runs('p1')), 1)

    def test_silent_connections_between_instances(self):
        # Guards against a second charge, or repeats that never succeed, when
        # the open connections between instances silently drop all bytes.
        before, opened, counts = self.silenced.result()
        self.assertEqual(before.status, 200, before.body)
        self.assertGreater(opened, 0)
        self.assertEqual(counts, [1] * (1 + len(REPEATED)))

    def _answer(self, number, request_id, ticket):
        reply = self.site.call(number, 'charge', request_id, ticket)
        return reply if reply.status == 200 else None


def _charge_over_silence():
    site = harness.Deployment(is_relayed=True)
    try:
        return _charge_over_silence_at(site)
    finally:
        site.close()


def _charge_over_silence_at(site):
    ticket = site.address_reply(1)['ticket']
    before = site.call(0, 'charge', 'r0', ticket)
    names = [instance['id'] for instance in site.layout.instances]
    opened = sum(site.admin('relays', f'relays/{n}')['open'] for n in names)
    for name in names:
        changes = {'mode': 'silence open'}
        site.admin('relays', f'relays/{name}/faults', changes)
    for request_id in REPEATED:
        harness.wait_for(
            lambda r=request_id: (
                site.call(0, 'charge', r, ticket).status == 200
            ),
            f'{request_id} is answered',
        )
    counts = [len(site.runs(r)) for r in ('r0', *REPEATED)]
    return before, opened, counts
