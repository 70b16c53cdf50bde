"""Stand in for a trainer that submits batch jobs and reads results."""

from __future__ import annotations

import asyncio
import base64
import json
import uuid

import http_server


def job(prefix, model, groups, items, host, scorer_prefix, step=0):
    """Return a submission: groups with items that share their prompt."""
    found = []
    for group in range(groups):
        group_id = uuid.uuid4().hex[:8]
        for _ in range(items):
            item = uuid.uuid4().hex[:16]
            found.append(
                {
                    'id': item,
                    'path': f'{prefix}3/{item[:4]}',
                    'headers': {
                        'Model': model,
                        'Token-Usage': '540,400',
                        'Prompt-Prefix': f'{group_id}:300,{item}:240',
                    },
                    'body': base64.b64encode(item.encode()).decode(),
                    'tokens': 940,
                    'group': group_id,
                    'scorer': {
                        'id': uuid.uuid4().hex[:16],
                        'host': host,
                        'path': f'{scorer_prefix}5e07',
                        'body': base64.b64encode(b'text').decode(),
                    },
                }
            )
    return {
        'step': step,
        'model': model,
        'minVersion': max(0, step - 1),
        'targetGroups': groups,
        'items': found,
    }


async def submit(address, host, prefix, job_id, submission, seconds=10.0):
    headers = [
        ('Host', host),
        ('Request-Id', job_id),
        ('Content-Type', 'application/json'),
    ]
    body = json.dumps(submission).encode()
    return await http_server.call(
        address, 'POST', f'{prefix}{job_id[:6]}', headers, body, seconds
    )


async def read(address, host, job_id, after):
    headers = [('Host', host), ('Wait-Ms', '1000')]
    return await http_server.call(
        address,
        'GET',
        f'/api/lots/{job_id}?after={after}',
        headers,
        seconds=2.5,
    )


async def end(address, host, job_id):
    return await http_server.call(
        address, 'DELETE', f'/api/lots/{job_id}', [('Host', host)], seconds=5.0
    )


async def read_until(addresses, host, job_id, total, until, record):
    """Read about twice a second until all results are there, or the end."""
    results = []
    loop = asyncio.get_running_loop()
    turn = 0
    while loop.time() < until and len(results) < total:
        address = addresses[turn % len(addresses)]
        turn += 1
        answer = await read(address, host, job_id, len(results))
        if answer.status == 200 and answer.is_whole:
            page = json.loads(answer.body)
            for result in page['results']:
                record(
                    f'result {len(results)} of {job_id}: {result["id"]}'
                    f' {result["state"]}'
                )
                results.append(result)
        else:
            record(f'read of {job_id}: {answer.status} {answer.error}')
        await asyncio.sleep(0.5)
    return results
