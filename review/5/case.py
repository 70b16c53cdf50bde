"""A stream that must not be repeated runs at two workers."""

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
REQUESTS = 120
EVENTS = 5
ROUTES = [
    {'name': 'talk', 'host': kit.HOST, 'prefix': '/lohu930/',
     'routeType': 'stream', 'timeoutMs': 10000, 'targetLatencyMs': 400,
     'priority': 1, 'service': 'engines', 'maxAttempts': 4},
]
SERVICES = [
    {'name': 'engines', 'healthPath': '/health', 'maxConns': 130,
     'engine': {'slots': 8, 'kvTokens': 69777, 'models': [{'name': MODEL}]}},
]


def workers(is_faulty):
    """Return two workers, of which one hands out second answers."""
    found = [{'id': 'i-model-%d' % number, 'service': 'engines',
              'models': [MODEL], 'events': EVENTS, 'eventMs': 20,
              'rejectEach': 6} for number in (1, 2)]
    if is_faulty:
        # Two of its about 80 answers are followed by a second one.
        found[0]['extraAfter'] = [2, 12]
    return found


def run(site):
    time.sleep(5.0)
    served = 0
    for number in range(REQUESTS):
        request = '9c41d07be2a35f%02x' % number
        headers = {'Host': kit.HOST, 'Request-Id': request,
                   'Deadline-Ms': '12000', 'Model': MODEL,
                   'Token-Usage': '540,400'}
        status, _, body = kit.call(site.front(1), 'POST', '/lohu930/2f',
                                   b'hello', headers)
        served += status == 200 and body.count(b'piece ') == EVENTS
        if status != 200:
            site.record('request %s: %d %s' % (request, status, body))
    time.sleep(1.0)
    runs = site.runs()
    twice = sorted(number for number, count in runs.items() if count > 1)
    site.record('%d of %d streams were served; runs more than once: %s; rule '
                'TWICE is %s' % (served, REQUESTS, twice,
                                 'broken' if twice else 'kept'))
    if not site.trouble and served < REQUESTS:
        raise kit.NotRunnable('not every stream was served without trouble')
    return bool(twice)


if __name__ == '__main__':
    case = kit.Site(RECORD, TROUBLE, [], ROUTES, SERVICES)
    case.set_workers(workers(case.trouble))
    kit.main(case, run)
