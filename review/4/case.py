"""An entry of another writer ends the service for good."""

import base64
import http.client
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = HERE / 'record.txt'
# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
sys.path.insert(0, str(HERE.parents[1] / 'target/review/standins-2'))

import kit  # noqa: E402

# An array in an array and so on: a value of 4 kB that can't be read.
DEPTH = 2000
FOREIGN = b'{"note":' + b'[' * DEPTH + b']' * DEPTH + b'}'
RECOVERY_S = 15.0
REQUESTS = 30
GATEWAYS = (1, 2, 3)
# The bounds of the site that the claim names.
BOUNDS = {'contactMs': 4000, 'ackMs': 6000, 'catchUpS': 6, 'drainMs': 3000,
          'configApplyMs': 3000, 'maxStretchMs': 6000, 'recoveryS': 15,
          'passMs': 200}
ROUTES = [
    {'name': 'ask', 'host': kit.HOST, 'prefix': '/lohu930/',
     'routeType': 'safe', 'timeoutMs': 1500, 'targetLatencyMs': 159,
     'priority': 2, 'service': 'plain', 'maxAttempts': 3},
]
SERVICES = [{'name': 'plain', 'healthPath': '/health', 'maxConns': 96}]
WORKERS = [{'id': 'i-plain-%d' % number, 'service': 'plain'}
           for number in (1, 2, 3)]


def ask(site, name):
    """Send requests, with the sheets' one retry; return how many succeed."""
    served = 0
    answers = {}
    for number in range(REQUESTS):
        for attempt in (0, 1):
            gateway = GATEWAYS[(number + attempt) % len(GATEWAYS)]
            headers = {'Host': kit.HOST, 'Deadline-Ms': '1500', 'Request-Id':
                       '%s%014x%d' % (name, number, attempt)}
            try:
                status, _, _ = kit.call(site.front(gateway), 'POST',
                                        '/lohu930/2f', b'hello', headers, 1.5)
            except (OSError, http.client.HTTPException) as error:
                status = type(error).__name__
            answers[status] = answers.get(status, 0) + 1
            if status == 200:
                served += 1
                break
        time.sleep(0.05)
    site.record('%s: %d of %d requests were served; answers: %s'
                % (name, served, REQUESTS, answers))
    return served


def is_ready(site, gateway):
    try:
        return kit.call(site.ip(gateway) + ':8141', 'GET', '/api/ready',
                        seconds=1.0)[0] == 200
    except OSError:
        return False


def run(site):
    time.sleep(5.0)
    if ask(site, 'a') < REQUESTS:
        raise kit.NotRunnable('not served at the start')
    if site.trouble:
        site.command('/put-bytes', key='servers/a-7f3a91c2',
                     base64=base64.b64encode(FOREIGN).decode())
    time.sleep(4.0)
    before = ask(site, 'b')
    # The final fault: all processes are killed, and back within a second.
    for gateway in GATEWAYS:
        site.signal(gateway, signal.SIGKILL)
    for gateway in GATEWAYS:
        site.processes['gateway-%d' % gateway].wait()
        site.start_gateway(gateway)
    back_at = time.monotonic()
    time.sleep(RECOVERY_S + 1.0 - (time.monotonic() - back_at))
    after = ask(site, 'c')
    ready = [gateway for gateway in GATEWAYS if is_ready(site, gateway)]
    site.record('ready %.0f s after the fault: %s'
                % (time.monotonic() - back_at, ready))
    is_broken = before >= REQUESTS / 4 and after < REQUESTS / 4
    for gateway in GATEWAYS:
        for line in site.log_of(gateway).splitlines():
            if 'Background task failed' in line:
                site.record('gateway %d logs: ...%s'
                            % (gateway, line[line.index('Recursion'):][:90]
                               if 'Recursion' in line else line[-200:]))
    site.record('rule RECOVER is %s' % ('broken' if is_broken else 'kept'))
    if not site.trouble and after < REQUESTS:
        raise kit.NotRunnable('not served after the fault without trouble')
    return is_broken


if __name__ == '__main__':
    case = kit.Site(RECORD, TROUBLE, WORKERS, ROUTES, SERVICES, bounds=BOUNDS)
    kit.main(case, run)
