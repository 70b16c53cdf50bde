from __future__ import annotations

from concurrent import futures
import signal
import unittest

from nose2.tools import params

from processes import harness
from yuccarill.core.leases import shards
from yuccarill.core.leases import table

GROUPS = 4
SAMPLES_PER_GROUP = 2
MAX_TOKENS = 64
SECONDS_PER_CHUNK = 0.1
FAILURES = (signal.SIGKILL, signal.SIGSTOP)


class TrainerHolderTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # A lease takes seconds to lapse: the failures happen side by side,
        # each to instances of its own.
        pool = futures.ThreadPoolExecutor(len(FAILURES))
        cls.addClassCleanup(pool.shutdown)
        cls.bodies_by_failure = {
            failure: pool.submit(_deliver, failure) for failure in FAILURES
        }

    @params(*FAILURES)
    def test_holder_fails_in_the_middle_of_a_step(self, failure):
        # The instance that works on a trainer's step dies, or is paused and
        # still believes that it holds the duty. Another takes the step over
        # and delivers it whole. The paused one goes on afterwards and tries
        # to finish as well; its delivery loses, and whoever is asked gives
        # the same bytes.
        first, *again = self.bodies_by_failure[failure].result()
        self.assertGreater(len(again), 0)
        self.assertEqual(set(again), {first})
        samples = harness.Reply(200, first).json['samples']
        ids = {sample['id'] for sample in samples}
        self.assertEqual(len(samples), GROUPS * SAMPLES_PER_GROUP)
        self.assertEqual(len(ids), len(samples))
        for sample in samples:
            count = sum(len(span['tokens']) for span in sample['spans'])
            self.assertEqual(count, MAX_TOKENS)


class Step:
    """Be one step as its trainer asks for it."""

    def __init__(self, site):
        self._site = site
        self._trainer = site.places.inventory['trainers'][0]['id']

    def submit(self, number):
        """Submit the step through an instance."""
        groups = [
            {
                'prompt': f'p{n}',
                'samples': SAMPLES_PER_GROUP,
                'max_tokens': MAX_TOKENS,
            }
            for n in range(GROUPS)
        ]
        step = {'step': 1, 'newest_version': 1, 'groups': groups}
        return harness.send('POST', self._url(number), step)

    def fetch(self, number):
        """Return the step's bytes once it is delivered."""
        reply = harness.send('GET', f'{self._url(number)}/1')
        if reply.status == 404:
            self.submit(number)
        return reply.body if reply.status == 200 else None

    def holder(self):
        """Return the instance that works on the step."""
        store = self._site.places.platform['key_value']
        url = f'http://{store}/v1/keys/{table.TABLE_KEY}'
        reply = harness.send('GET', url)
        if reply.status != 200:
            return None
        shard = shards.shard_of(shards.trainer_duty(self._trainer))
        found = table.decode(1, reply.body).entries[shard].holder
        return found and found.instance

    def _url(self, number):
        address = self._site.addresses[number]
        return f'http://{address}/v1/trainers/{self._trainer}/steps'


def _deliver(failure):
    """Return the step's bytes from each instance that is asked."""
    site = harness.Deployment()
    try:
        return _deliver_at(site, failure)
    finally:
        site.close()


def _deliver_at(site, failure):
    engines = [e['address'] for e in site.places.inventory['engines']]
    for address in engines:
        order = {'seconds_per_chunk': SECONDS_PER_CHUNK}
        site.admin(address, 'faults', order)
    step = Step(site)
    step.submit(0)
    name = harness.wait_for(step.holder, 'the trainer has a holder')
    holder = int(name.rpartition('-')[2]) - 1
    harness.wait_for(
        lambda: any(site.admin(address, 'runs') for address in engines),
        'engines work on the step',
    )
    site.signal(holder, failure)
    asked = [number for number in range(3) if number != holder]
    bodies = [
        harness.wait_for(lambda: step.fetch(asked[0]), 'it is delivered')
    ]
    if failure is signal.SIGSTOP:
        site.signal(holder, signal.SIGCONT)
        asked.append(holder)
    for number in asked[1:]:
        again = harness.wait_for(
            lambda n=number: step.fetch(n), 'it is fetched again'
        )
        bodies.append(again)
    return bodies
