"""A model worker crashes; another worker fails the stream that goes on there.

Clients read resumable streams. One of six workers crashes in the middle of
its streams, and the system goes on with them at other workers. One worker
answers some of the requests that it gets with its own 500, as workers may.
The check is ORDER: a stream that ends as complete has all its events.
"""

import asyncio
import os
import pathlib
import re
import sys
import uuid

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import fleet as fleet_module  # noqa: E402
import http_server  # noqa: E402
import sitefile  # noqa: E402
import store as store_module  # noqa: E402
import workers  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PREFIX = '/lohu930/'
EVENTS = 20
SLOTS = 12
STREAMS = 36
# Seconds for which a crashed worker is down.
DOWN_SECONDS = 4.5
# Crashes of one worker, one after the other, and the pause between them.
CRASHES = 3
GAP_SECONDS = 9.0
# Share of its requests that the failing worker answers with 500.
FAILED_SHARE = 0.4
EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


async def main():
    record = fleet_module.Record(HERE / 'record.txt')
    store = store_module.Store()
    fleet = fleet_module.Fleet(store, record)
    try:
        return await play(record, store, fleet)
    finally:
        fleet.stop()


async def play(record, store, fleet):
    services = [sitefile.engine_service('drafter', SLOTS, [workers.MODEL])]
    routes = [sitefile.stream_route('talk', PREFIX, 'drafter')]
    sitefile.put_config(store, 1, routes, services, record)
    zones = [*fleet_module.ZONES, *fleet_module.ZONES]
    engines = await sitefile.start_engines(
        store, record, fleet, zones, 'drafter', SLOTS, EVENTS, 11
    )
    fail_some(engines[-1])
    await fleet.start()
    await asyncio.sleep(3.0)
    found = []
    for crash in range(CRASHES):
        found += await play_streams(record, store, fleet, engines, crash)
    return judge(record, found)


def fail_some(engine):
    """Let a worker fail two of every five of its requests."""
    count = 0

    def fails(_):
        nonlocal count
        count += 1
        return int(count * FAILED_SHARE) != int((count - 1) * FAILED_SHARE)

    engine.fails = fails


async def play_streams(record, store, fleet, engines, crash):
    reading = [
        asyncio.create_task(
            read_stream(record, fleet, fleet.names[n % len(fleet.names)])
        )
        for n in range(STREAMS)
    ]
    await asyncio.sleep(0.8)
    if TROUBLE:
        worker = engines[crash % (len(engines) - 1)]
        host, _, port = worker.address.rpartition(':')
        ended = worker.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(3.6, store.remove, f'servers/{ended}')
        await asyncio.sleep(DOWN_SECONDS)
        await worker.start(host, int(port))
    found = await asyncio.gather(*reading)
    await asyncio.sleep(GAP_SECONDS - DOWN_SECONDS if TROUBLE else 1.0)
    return found


async def read_stream(record, fleet, name):
    request = uuid.uuid4().hex[:16]
    headers = [
        ('Host', sitefile.HOST),
        ('Request-Id', request),
        ('Deadline-Ms', '12000'),
        ('Model', workers.MODEL),
        ('Token-Usage', '540,400'),
        ('Prompt-Prefix', f'9c2e41:300,{request}:240'),
    ]
    answer = await http_server.call(
        fleet.address(name),
        'POST',
        f'{PREFIX}2f{request[:4]}',
        headers,
        request.encode(),
        seconds=12.0,
    )
    events = [int(n) for n in EVENT_ID.findall(answer.body)]
    record(
        f'client stream {request}: status {answer.status}, {len(events)} '
        f'events, whole {answer.is_whole} {answer.error}'
    )
    return request, answer, events


def judge(record, found):
    wanted = list(range(1, EVENTS + 1))
    short = [
        request
        for request, answer, events in found
        if answer.status == 200 and answer.is_whole and events != wanted
    ]
    whole = sum(events == wanted for _, _, events in found)
    record(
        f'{len(found)} streams, {whole} with all events; {len(short)} ended '
        f'as complete before their last event: {short}'
    )
    record('ORDER is broken' if short else 'ORDER held')
    if not whole:
        return 2
    return 1 if short else 0


fleet_module.run_case(main)
