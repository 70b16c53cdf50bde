"""An item under which workers crashed is not placed again, all being calm."""

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
# The item that runs at each worker that crashes.
UNLUCKY = 'e5b2907c14da6f30'
CRASHES = 5
# A step's time, and the bounds of the rule, in seconds.
STEP_S = 12.0
CONTACT_S = 3.0
LYING_S = 5.0
STEPS = 3
ROUTES = [
    {'name': 'train', 'host': kit.HOST, 'prefix': '/pule252/',
     'routeType': 'rollout', 'timeoutMs': 10000, 'targetLatencyMs': 400,
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
    {'id': 'i-model-%d' % number, 'service': 'engines', 'models': [MODEL],
     'events': 60, 'eventMs': 60} for number in range(1, 7)
] + [{'id': 'i-plain-1', 'service': 'plain'}]


def item(number, group):
    return {
        'id': number, 'path': '/pule252/3/91c4', 'group': group,
        'headers': {'Model': MODEL, 'Token-Usage': '540,400',
                    'Prompt-Prefix': '9c2e41:300,5d07b8:240'},
        'body': base64.b64encode(number.encode() * 30).decode(),
        'tokens': 940,
        'scorer': {'id': '40c8' + number[4:], 'host': kit.HOST,
                   'path': '/pufi791/5e07',
                   'body': base64.b64encode(b'score').decode()}}


def step_body(step):
    """A step has the incomplete group of the step before, and a new one."""
    again = [UNLUCKY[:-1] + '%d' % place for place in range(4)]
    new = ['%s%x%d' % (UNLUCKY[:-2], 10 + step, place) for place in range(4)]
    items = [item(number, 'g0') for number in again]
    items += [item(number, 'g%d' % (step + 1)) for number in new]
    return json.dumps({'step': step, 'model': MODEL, 'minVersion': 1,
                       'targetGroups': 2, 'items': items}).encode()


def run_step(site, step):
    """Play one step as a trainer; return its job, times and listed items."""
    job = '7c41e09b52d6a3f%d' % step
    headers = {'Host': kit.HOST, 'Request-Id': job,
               'Content-Type': 'application/json'}
    status, _, _ = kit.call(site.front(1), 'POST', '/pule252/7c41e0',
                            step_body(step), headers)
    if status != 202:
        raise kit.NotRunnable('a step was answered %d' % status)
    began_at = time.time()
    listed = {}
    while len(listed) < 8 and time.time() < began_at + STEP_S:
        status, _, answer = kit.call(
            site.front(2), 'GET', '/api/lots/%s?after=0' % job,
            headers={'Host': kit.HOST})
        if status == 200:
            listed = {each['id']: each['state']
                      for each in json.loads(answer)['results']}
        time.sleep(0.5)
    ended_at = time.time()
    kit.call(site.front(3), 'DELETE', '/api/lots/' + job,
             headers={'Host': kit.HOST})
    site.record('step %d: %d of 8 items listed after %.1f s; the unlucky one: '
                '%s' % (step, len(listed), ended_at - began_at,
                        listed.get(UNLUCKY)))
    return began_at, ended_at, listed


def longest_lying(spans, since, until):
    """Return the longest time in which no run was under way."""
    at, longest = since, 0.0
    for begin, end in sorted(spans):
        longest = max(longest, min(begin, until) - at)
        at = max(at, until if end is None else end)
    return max(longest, until - at)


def run(site):
    time.sleep(6.0)
    if site.trouble:
        site.command('/burst', request=UNLUCKY, left=CRASHES, after=0.25)
    is_broken = False
    for step in range(STEPS):
        began_at, ended_at, listed = run_step(site, step)
        state = site.command('/runs')
        crashes = state['crashes']
        last = max(crashes, default=0.0)
        steady_from = max(began_at, last + 0.4 + CONTACT_S)
        spans = state['intervals'].get(UNLUCKY, [])
        lying = longest_lying(spans, steady_from, ended_at)
        others = sum(state_of == 'completed' for number, state_of
                     in listed.items() if number != UNLUCKY)
        site.record('step %d: %d crashes so far, the last %.1f s before its '
                    'end; the unlucky item was at no worker for %.1f s of '
                    'steady state; %d others completed'
                    % (step, len(crashes), ended_at - last, lying, others))
        if (UNLUCKY not in listed and ended_at - began_at >= STEP_S
                and lying >= LYING_S and others >= 4):
            is_broken = True
        if UNLUCKY in listed:
            break
        time.sleep(0.5)
    site.record('rule LOST is %s' % ('broken' if is_broken else 'kept'))
    if not site.trouble and len(listed) < 8:
        raise kit.NotRunnable('the step was not served without trouble')
    return is_broken


if __name__ == '__main__':
    kit.main(kit.Site(RECORD, TROUBLE, WORKERS, ROUTES, SERVICES), run)
