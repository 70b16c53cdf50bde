from __future__ import annotations

from concurrent import futures
import signal
import unittest

from nose2.tools import params

from processes import harness
from yuccarill.core.leases import shards
from yuccarill.core.leases import table
from yuccarill.core.rollouts import records

GROUPS = 4
SAMPLES_PER_GROUP = 2
MAX_TOKENS = 64
SECONDS_PER_CHUNK = 0.1
FAILURES = (signal.SIGKILL, signal.SIGSTOP)
NUMBER = 1
# Holds every write of the holder until it is paused.
HELD_WRITES = 100
# A request to a paused holder waits until it resumes.
FETCH_SECONDS = 60.0


class TrainerHolderTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # Leases take seconds to expire, so the scenarios run concurrently,
        # each in its own deployment.
        pool = futures.ThreadPoolExecutor(len(FAILURES) + 1)
        cls.addClassCleanup(pool.shutdown)
        cls.bodies_by_failure = {
            failure: pool.submit(_run_in_deployment, _deliver, failure)
            for failure in FAILURES
        }
        cls.late = pool.submit(_run_in_deployment, _deliver_late)

    @params(*FAILURES)
    def test_holder_fails_in_the_middle_of_a_step(self, failure):
        # Guards against a lost step or two different deliveries after the
        # holder is killed, or paused past its lease and resumed.
        self._check_bodies(self.bodies_by_failure[failure].result())

    def test_paused_holder_decides_after_its_successor(self):
        # Guards against a late write of a paused holder that overwrites the
        # delivery of its successor. The store refuses the stale version.
        result = self.late.result()
        self._check_bodies(result.bodies)
        self.assertIsInstance(result.delivered, records.Manifest)
        self.assertNotEqual(result.delivered.holder, result.paused)
        self.assertEqual(result.stored_record, result.delivered)
        self.assertEqual(
            {w['outcome'] for w in result.late_writes}, {'refused'}
        )

    def _check_bodies(self, bodies):
        first, *again = bodies
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
    """One step, as its trainer requests it."""

    def __init__(self, site):
        self._site = site
        self._trainer = site.layout.inventory['trainers'][0]['id']
        self.key = records.step_key(self._trainer, NUMBER)

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
        step = {'step': NUMBER, 'newest_version': 1, 'groups': groups}
        return harness.send('POST', self._url(number), step)

    def fetch(self, number):
        """Return the delivered step, or None."""
        url = f'{self._url(number)}/{NUMBER}'
        reply = harness.send('GET', url, seconds=FETCH_SECONDS)
        if reply.status == 404:
            self.submit(number)
        return reply.body if reply.status == 200 else None

    def holder(self):
        """Return the instance that holds the trainer's lease, or None."""
        value = self._site.stored_value(table.TABLE_KEY)
        if value is None:
            return None
        shard = shards.shard_of(shards.trainer_duty(self._trainer))
        found = table.decode(1, value).entries[shard].holder
        return found and found.instance

    def record(self):
        """Return the stored record of the step."""
        value = self._site.stored_value(self.key)
        return value and records.decode(value)

    def _url(self, number):
        address = self._site.addresses[number]
        return f'http://{address}/v1/trainers/{self._trainer}/steps'


class LateResult:
    """Result of a delivery that is written late."""

    def __init__(self, paused, delivered):
        self.paused = paused
        self.delivered = delivered
        self.late_writes = []
        self.stored_record = None
        self.bodies = []


def _run_in_deployment(scenario, *details):
    site = harness.Deployment()
    try:
        return scenario(site, *details)
    finally:
        site.close()


def _number_of(name):
    return int(name.rpartition('-')[2]) - 1


def _deliver_late(site):
    step = Step(site)
    harness.wait_for(
        lambda: step.submit(0) and step.record(), 'the step is claimed'
    )
    paused = step.record().holder
    holder = _number_of(paused)
    others = [number for number in range(3) if number != holder]
    site.hold_writes(step.key, HELD_WRITES)
    first = site.pool.submit(_wait_for_step, step, holder)
    site.wait_for_held()
    site.signal(holder, signal.SIGSTOP)
    site.admin('key_value', 'faults', {'hold_writes': 0})
    bodies = [_wait_for_step(step, others[0])]
    result = LateResult(paused, step.record())
    earlier = len(site.writes(step.key))
    held = site.release_writes()
    harness.wait_for(
        lambda: len(site.writes(step.key)) >= earlier + len(held),
        'late writes are executed',
    )
    result.late_writes = site.writes(step.key)[earlier:]
    result.stored_record = step.record()
    site.signal(holder, signal.SIGCONT)
    bodies.append(first.result())
    bodies += [_wait_for_step(step, number) for number in (*others, holder)]
    result.bodies = bodies
    return result


def _wait_for_step(step, number):
    return harness.wait_for(
        lambda: step.fetch(number), 'the step is delivered'
    )


def _deliver(site, failure):
    """Return the delivered step as several instances return it."""
    engines = [e['address'] for e in site.layout.inventory['engines']]
    for address in engines:
        changes = {'seconds_per_chunk': SECONDS_PER_CHUNK}
        site.admin(address, 'faults', changes)
    step = Step(site)
    step.submit(0)
    name = harness.wait_for(step.holder, 'the trainer has a holder')
    holder = _number_of(name)
    harness.wait_for(
        lambda: any(site.admin(address, 'runs') for address in engines),
        'engines work on the step',
    )
    site.signal(holder, failure)
    asked = [number for number in range(3) if number != holder]
    bodies = [_wait_for_step(step, asked[0])]
    if failure is signal.SIGSTOP:
        site.signal(holder, signal.SIGCONT)
        asked.append(holder)
    return bodies + [_wait_for_step(step, number) for number in asked[1:]]
