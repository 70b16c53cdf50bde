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
# More than a holder can send before it is paused.
HELD_WRITES = 100
# A trainer that asks a paused holder waits until that goes on.
PATIENT_SECONDS = 60.0


class TrainerHolderTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # A lease takes seconds to lapse: the failures happen side by side,
        # each to instances of its own.
        pool = futures.ThreadPoolExecutor(len(FAILURES) + 1)
        cls.addClassCleanup(pool.shutdown)
        cls.bodies_by_failure = {
            failure: pool.submit(_at_own_site, _deliver, failure)
            for failure in FAILURES
        }
        cls.late = pool.submit(_at_own_site, _decide_late)

    @params(*FAILURES)
    def test_holder_fails_in_the_middle_of_a_step(self, failure):
        # The instance that works on a trainer's step dies, or is paused and
        # still believes that it holds the duty. Another takes the step over
        # and delivers it whole. The paused one goes on afterwards and tries
        # to finish as well; its delivery loses, and whoever is asked gives
        # the same bytes.
        self._check_bodies(self.bodies_by_failure[failure].result())

    def test_paused_holder_decides_after_its_successor(self):
        # The holder's delivery is on its way to the store when it is
        # paused, with its lease still good. Another takes the step over and
        # delivers it; then the first one's write arrives. It names the
        # claim that the successor has replaced, so the store refuses it.
        # Written over, the record would name samples that nobody was given.
        end = self.late.result()
        self._check_bodies(end.bodies)
        self.assertIsInstance(end.decided, records.Manifest)
        self.assertNotEqual(end.decided.holder, end.paused)
        self.assertEqual(end.standing, end.decided)
        self.assertEqual({w['outcome'] for w in end.late_writes}, {'refused'})

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
    """Be one step as its trainer asks for it."""

    def __init__(self, site):
        self._site = site
        self._trainer = site.places.inventory['trainers'][0]['id']
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
        """Return the step's bytes once it is delivered."""
        url = f'{self._url(number)}/{NUMBER}'
        reply = harness.send('GET', url, seconds=PATIENT_SECONDS)
        if reply.status == 404:
            self.submit(number)
        return reply.body if reply.status == 200 else None

    def holder(self):
        """Return the instance that works on the step."""
        value = self._site.standing(table.TABLE_KEY)
        if value is None:
            return None
        shard = shards.shard_of(shards.trainer_duty(self._trainer))
        found = table.decode(1, value).entries[shard].holder
        return found and found.instance

    def record(self):
        """Return what the store keeps of the step."""
        value = self._site.standing(self.key)
        return value and records.decode(value)

    def _url(self, number):
        address = self._site.addresses[number]
        return f'http://{address}/v1/trainers/{self._trainer}/steps'


class LateEnd:
    """Hold what came of a decision that arrived late."""

    def __init__(self, paused, decided):
        self.paused = paused
        self.decided = decided
        self.late_writes = []
        self.standing = None
        self.bodies = []


def _at_own_site(happens, *details):
    site = harness.Deployment()
    try:
        return happens(site, *details)
    finally:
        site.close()


def _number_of(name):
    return int(name.rpartition('-')[2]) - 1


def _decide_late(site):
    step = Step(site)
    harness.wait_for(
        lambda: step.submit(0) and step.record(), 'the step is claimed'
    )
    paused = step.record().holder
    holder = _number_of(paused)
    others = [number for number in range(3) if number != holder]
    site.hold_writes(step.key, HELD_WRITES)
    first = site.pool.submit(_fetched, step, holder)
    site.wait_for_held()
    site.signal(holder, signal.SIGSTOP)
    site.admin('key_value', 'faults', {'hold_writes': 0})
    bodies = [_fetched(step, others[0])]
    end = LateEnd(paused, step.record())
    earlier = len(site.writes(step.key))
    held = site.release_writes()
    harness.wait_for(
        lambda: len(site.writes(step.key)) >= earlier + len(held),
        'late writes are carried out',
    )
    end.late_writes = site.writes(step.key)[earlier:]
    end.standing = step.record()
    site.signal(holder, signal.SIGCONT)
    bodies.append(first.result())
    bodies += [_fetched(step, number) for number in (*others, holder)]
    end.bodies = bodies
    return end


def _fetched(step, number):
    return harness.wait_for(lambda: step.fetch(number), 'it is delivered')


def _deliver(site, failure):
    """Return the step's bytes from each instance that is asked."""
    engines = [e['address'] for e in site.places.inventory['engines']]
    for address in engines:
        order = {'seconds_per_chunk': SECONDS_PER_CHUNK}
        site.admin(address, 'faults', order)
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
    bodies = [_fetched(step, asked[0])]
    if failure is signal.SIGSTOP:
        site.signal(holder, signal.SIGCONT)
        asked.append(holder)
    return bodies + [_fetched(step, number) for number in asked[1:]]
