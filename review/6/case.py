"""A batch job is refused with 503 at every client attempt, and runs."""

import base64
import json
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = HERE / 'record.txt'
# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
sys.path.insert(0, str(HERE.parents[1] / 'target/review/standins-2'))

import kit  # noqa: E402

MODEL = 'daka510000'
JOB = '7c41e09b52d6a3f8'
ITEMS = ['e5b2907c14da6f3%d' % number for number in range(4)]
PROMISES = (429, 503, 408, 421)
# Seconds for which the store is down, from the write whose answer is lost.
OUTAGE_S = 4.8
# Seconds for which a trainer waits for the 202, and its retries.
DEADLINE_S = 12.0
RETRIES = 1
# The gateways that the trainer happens to choose.
NODES = (3, 1)
ROUTES = [
    {'name': 'train', 'host': kit.HOST, 'prefix': '/pule252/',
     'routeType': 'rollout', 'timeoutMs': 1200, 'targetLatencyMs': 400,
     'priority': 1, 'service': 'engines', 'maxAttempts': 3, 'dueMs': 7500,
     'retentionS': 60},
    {'name': 'score', 'host': kit.HOST, 'prefix': '/pufi791/',
     'routeType': 'safe', 'timeoutMs': 3000, 'targetLatencyMs': 800,
     'priority': 2, 'service': 'plain', 'maxAttempts': 3},
]
SERVICES = [
    {'name': 'engines', 'healthPath': '/health', 'maxConns': 130,
     'engine': {'slots': 8, 'kvTokens': 69777, 'models': [{'name': MODEL}]}},
    {'name': 'plain', 'healthPath': '/health', 'maxConns': 96},
]
WORKERS = [
    {'id': 'i-model-1', 'service': 'engines', 'models': [MODEL]},
    {'id': 'i-model-2', 'service': 'engines', 'models': [MODEL]},
    {'id': 'i-plain-1', 'service': 'plain'},
]


def job_body():
    items = [
        {'id': item, 'path': '/pule252/3/91c4', 'group': 'g%d' % (place // 2),
         'headers': {'Model': MODEL, 'Token-Usage': '540,400',
                     'Prompt-Prefix': '9c2e41:300,5d07b8:240'},
         'body': base64.b64encode(item.encode() * 30).decode(), 'tokens': 940,
         'scorer': {'id': '40c8f1a7b3e9265%d' % place, 'host': kit.HOST,
                    'path': '/pufi791/5e07',
                    'body': base64.b64encode(b'score').decode()}}
        for place, item in enumerate(ITEMS)]
    return json.dumps({'step': 0, 'model': MODEL, 'minVersion': 1,
                       'targetGroups': 2, 'items': items}).encode()


def submit(site, body):
    """Send the job as a trainer does; return the statuses of its attempts."""
    give_up_at = time.monotonic() + DEADLINE_S
    statuses = []
    for attempt in range(1 + RETRIES):
        node = NODES[attempt]
        headers = {'Host': kit.HOST, 'Request-Id': JOB,
                   'Content-Type': 'application/json'}
        site.record('attempt %d: the job is sent to gateway %d'
                    % (attempt + 1, node))
        try:
            status, answer_headers, answer = kit.call(
                site.front(node), 'POST', '/pule252/7c41e0', body, headers)
        except OSError as error:
            site.record('no answer: %r' % error)
            statuses.append(None)
            continue
        statuses.append(status)
        site.record('gateway %d answers %d: %s' % (node, status, answer))
        if status == 202 or attempt == RETRIES:
            break
        left = give_up_at - time.monotonic()
        pause = float(answer_headers.get('Retry-After', 0))
        time.sleep(max(0.0, min(pause, left / 3)))
    return statuses


def run(site):
    # The service has its holder, and the gateways know each other.
    time.sleep(6.0)
    body = job_body()
    if site.trouble:
        site.command('/outage-after-write', bytes=len(body) // 2,
                     seconds=OUTAGE_S)
    statuses = submit(site, body)
    time.sleep(OUTAGE_S + 10.0)
    runs = site.runs()
    began = {item: runs.get(item, 0) for item in ITEMS}
    site.record('runs by item: %s' % began)
    reply = kit.call(site.front(2), 'GET', '/api/lots/%s?after=0' % JOB,
                     headers={'Host': kit.HOST})
    site.record('the job is read: %d %s' % (reply[0], reply[2][:300]))
    is_refused = all(status in PROMISES for status in statuses)
    is_broken = is_refused and any(began.values())
    site.record('statuses %s; rule REFUSED is %s'
                % (statuses, 'broken' if is_broken else 'kept'))
    if not site.trouble and (statuses != [202] or not all(began.values())):
        raise kit.NotRunnable('the job was not served without trouble')
    return is_broken


if __name__ == '__main__':
    kit.main(kit.Site(RECORD, TROUBLE, WORKERS, ROUTES, SERVICES), run)
