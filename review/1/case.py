"""A configuration moves the route of an open batch job to another service.

A trainer's batch job is accepted, and some of its items begin at the workers
of the first service. Then the operator moves the route to another service of
model workers, all of them idle. The check is LOST: when the step runs out of
time, no item that no worker has finished or failed may have been at no worker
for the last 5 s, with the workers under half full.
"""

import asyncio
import os
import pathlib
import sys
import uuid

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import fleet as fleet_module  # noqa: E402
import sitefile  # noqa: E402
import store as store_module  # noqa: E402
import trainer  # noqa: E402
import workers  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PREFIX = '/pule252/'
SCORER_PREFIX = '/pufi791/'
GROUPS, ITEMS, EVENTS = 6, 6, 15
SLOTS = 6
# The sheet's deadline of a step, from its submission.
STEP_SECONDS = 12.0
IDLE_SECONDS = 5.0
MOVE_AFTER_SECONDS = 0.8


async def main():
    record = fleet_module.Record(HERE / 'record.txt')
    store = store_module.Store()
    fleet = fleet_module.Fleet(store, record)
    try:
        return await play(record, store, fleet)
    finally:
        fleet.stop()


async def play(record, store, fleet):
    loop = asyncio.get_running_loop()
    services = [
        sitefile.engine_service('drafter', SLOTS, [workers.MODEL]),
        sitefile.engine_service('drafter-b', SLOTS, [workers.MODEL]),
        sitefile.plain_service('liftdesk'),
    ]
    scores = sitefile.safe_route('score', SCORER_PREFIX, 'liftdesk')
    routes = [sitefile.rollout_route('draft', PREFIX, 'drafter'), scores]
    sitefile.put_config(store, 1, routes, services, record)
    zones = fleet_module.ZONES
    engines = []
    for service, first in (('drafter', 11), ('drafter-b', 21)):
        engines += await sitefile.start_engines(
            store, record, fleet, zones[:2], service, SLOTS, EVENTS, first
        )
    await sitefile.start_plain_workers(store, record, fleet, zones)
    await fleet.start()
    await fleet_module.wait_until(
        lambda: fleet.holder('drafter') and fleet.holder('drafter-b'),
        10.0,
        'a holder for each service',
    )
    await asyncio.sleep(5.0)
    submission = trainer.job(
        PREFIX, workers.MODEL, GROUPS, ITEMS, sitefile.HOST, SCORER_PREFIX
    )
    ids = [item['id'] for item in submission['items']]
    job_id = uuid.uuid4().hex[:16]
    addresses = [fleet.address(name) for name in fleet.names]
    answer = await trainer.submit(
        addresses[0], sitefile.HOST, PREFIX, job_id, submission
    )
    record(f'batch job {job_id} answered {answer.status}')
    if answer.status != 202:
        return 2
    accepted_at = loop.time()
    watch = Watch(engines, ids)
    watching = asyncio.create_task(watch.run())
    reading = asyncio.create_task(
        trainer.read_until(
            addresses,
            sitefile.HOST,
            job_id,
            len(ids),
            accepted_at + STEP_SECONDS,
            record,
        )
    )
    await asyncio.sleep(MOVE_AFTER_SECONDS)
    if TROUBLE:
        routes = [sitefile.rollout_route('draft', PREFIX, 'drafter-b'), scores]
        sitefile.put_config(store, 2, routes, services, record)
    results = await reading
    watching.cancel()
    ended = await trainer.end(addresses[1], sitefile.HOST, job_id)
    record(f'batch job ended by its trainer: {ended.status}')
    return judge(record, loop.time(), watch, ids, results)


class Watch:
    """Sample which items are at a worker, and how full the workers are."""

    def __init__(self, engines, ids):
        self._engines = engines
        self._ids = ids
        self.last_at_worker = {}
        self.begun = set()
        self.fullest = []

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            running = [r for e in self._engines for r, _ in e.running]
            for item in running:
                self.begun.add(item)
                self.last_at_worker[item] = now
            slots = sum(e.slots for e in self._engines)
            self.fullest.append((now, len(running) / slots))
            await asyncio.sleep(0.02)


def judge(record, now, watch, ids, results):
    finished = {
        line.split()[-1]
        for line in (HERE / 'record.txt').read_text().splitlines()
        if ' completes ' in line
    }
    listed = {result['id'] for result in results}
    since = now - IDLE_SECONDS
    load = max(part for at, part in watch.fullest if at >= since)
    idle = [
        item
        for item in ids
        if item not in finished and watch.last_at_worker.get(item, 0) < since
    ]
    record(
        f'{len(ids)} items, {len(watch.begun)} begun, {len(finished)} '
        f'finished, {len(listed)} listed; {len(idle)} unfinished items were '
        f'at no worker in the last {IDLE_SECONDS} s; load then at most {load}'
    )
    is_broken = bool(idle) and bool(watch.begun) and load < 0.5
    record('LOST is broken' if is_broken else 'LOST held')
    return 1 if is_broken else 0


fleet_module.run_case(main)
