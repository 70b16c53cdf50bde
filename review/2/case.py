"""A machine is cut off from the store while a route is added and used.

Most gateways learn of configurations from another gateway that watches the
store. One such gateway is partitioned from the store. Meanwhile the operator
adds a route for batch jobs; a gateway that already knows it accepts a job on
it. The holder of the service still follows the one that is cut off, and knows
no such route, but it gets the job from the store.
The check is MIXED: no result may be `down` before an item had a 422, or
`maxAttempts` answers of 500, or `retentionS`, or the end of its batch job or
of its route.
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
FIRST_PREFIX = '/lohu930/'
PREFIX = '/pule252/'
SCORER_PREFIX = '/pufi791/'
GROUPS, ITEMS, EVENTS = 4, 6, 15
SLOTS = 12
# The sheet's deadline of a step, from its submission.
STEP_SECONDS = 12.0
CUT_SECONDS = 4.0
CONFIG_AFTER_SECONDS = 0.1
SUBMIT_AFTER_SECONDS = 0.25


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
    zones = fleet_module.ZONES
    services = [
        sitefile.engine_service('drafter', SLOTS, [workers.MODEL]),
        sitefile.plain_service('liftdesk'),
    ]
    routes = [
        sitefile.rollout_route('first', FIRST_PREFIX, 'drafter'),
        sitefile.safe_route('score', SCORER_PREFIX, 'liftdesk'),
    ]
    sitefile.put_config(store, 1, routes, services, record)
    await sitefile.start_engines(
        store, record, fleet, zones, 'drafter', SLOTS, EVENTS, 11
    )
    await sitefile.start_plain_workers(store, record, fleet, zones)
    await fleet.start()
    await fleet_module.wait_until(
        lambda: fleet.holder('drafter'), 10.0, 'a holder'
    )
    await asyncio.sleep(6.0)
    holder = fleet.holder('drafter')
    watching = [n for n in fleet.names if watches(store, fleet, n)]
    record(f'holder {holder}; watching the store: {watching}')
    cut_off = next(
        (n for n in watching if fleet.zone(n) == fleet.zone(holder)), None
    )
    front = next((n for n in watching if n != cut_off), None)
    if holder in watching or cut_off is None or front is None:
        raise fleet_module.CannotRun('the roles fell otherwise')
    if TROUBLE:
        address = fleet.store_addresses[cut_off]
        record(f'{cut_off} is partitioned from the store')
        store.cut(address)
        loop.call_later(CUT_SECONDS, store.heal, address)
    await asyncio.sleep(CONFIG_AFTER_SECONDS)
    routes.append(sitefile.rollout_route('second', PREFIX, 'drafter'))
    sitefile.put_config(store, 2, routes, services, record)
    await asyncio.sleep(SUBMIT_AFTER_SECONDS)
    submission = trainer.job(
        PREFIX, workers.MODEL, GROUPS, ITEMS, sitefile.HOST, SCORER_PREFIX
    )
    ids = [item['id'] for item in submission['items']]
    job_id = uuid.uuid4().hex[:16]
    # A refused submission comes again, at another node.
    for name in (front, *(n for n in fleet.names if n != cut_off)):
        answer = await trainer.submit(
            fleet.address(name), sitefile.HOST, PREFIX, job_id, submission
        )
        record(f'batch job {job_id} at {name}: {answer.status}')
        if answer.status == 202:
            break
    else:
        return 2
    addresses = [fleet.address(n) for n in fleet.names if n != cut_off]
    results = await trainer.read_until(
        addresses,
        sitefile.HOST,
        job_id,
        len(ids),
        loop.time() + STEP_SECONDS,
        record,
    )
    ended = await trainer.end(addresses[0], sitefile.HOST, job_id)
    record(f'batch job ended by its trainer: {ended.status}')
    return judge(record, results)


def watches(store, fleet, name):
    address = fleet.store_addresses[name]
    return any(
        called == address and prefix.startswith('op/config')
        for called, prefix in store.watches
    )


def judge(record, results):
    lines = (HERE / 'record.txt').read_text().splitlines()
    failed = [line for line in lines if ' answers 500 ' in line]
    begun = [line for line in lines if ' begins ' in line]
    down = [r['id'] for r in results if r['state'] == 'down']
    record(
        f'{len(results)} results, {len(down)} of them down; workers answered '
        f'{len(failed)} runs with 500 and none with 422; {len(begun)} runs '
        'began; the route and the batch job had not ended'
    )
    is_broken = bool(down) and not failed
    record('MIXED is broken' if is_broken else 'MIXED held')
    return 1 if is_broken else 0


fleet_module.run_case(main)
