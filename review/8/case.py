"""Requests taken later than 3 s after SIGTERM are cut without an answer."""

import json
import os
import pathlib
import signal
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = HERE / 'record.txt'
# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
sys.path.insert(0, str(HERE.parents[1] / 'target/review/standins-2'))

import kit  # noqa: E402

MODEL = 'daka510000'
GRACE_S = 8.0
DEADLINE_MS = 12000
# A stream of 60 pieces, one each 60 ms: 3.6 s.
EVENTS = 60
EVENT_MS = 60
# Seconds after SIGTERM at which requests are sent. Clients keep the answer of
# the directory, of 2 s, three times as long; the answer comes 0.1 s before.
SENT_AT = (3.2, 3.6, 4.0, 4.4, 4.8, 5.2, 5.6)
ROUTES = [
    {'name': 'talk', 'host': kit.HOST, 'prefix': '/lohu930/',
     'routeType': 'stream', 'timeoutMs': 10000, 'targetLatencyMs': 400,
     'priority': 1, 'service': 'engines', 'maxAttempts': 3},
]
SERVICES = [
    {'name': 'engines', 'healthPath': '/health', 'maxConns': 130,
     'engine': {'slots': 8, 'kvTokens': 69777, 'models': [{'name': MODEL}]}},
]
WORKERS = [
    {'id': 'i-model-%d' % number, 'service': 'engines', 'models': [MODEL],
     'events': EVENTS, 'eventMs': EVENT_MS} for number in (1, 2)
]


class Client(threading.Thread):
    """Send one request over a new connection and read the whole stream."""

    def __init__(self, address, number):
        super().__init__(daemon=True)
        self.address = address
        self.id = '9c41d07be2a35f%02x' % number
        self.sent_at = time.monotonic()
        self.data = b''
        self.end = 'no end'

    def run(self):
        host, _, port = self.address.rpartition(':')
        request = ('POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n'
                   'Deadline-Ms: %d\r\nModel: %s\r\nToken-Usage: 540,400\r\n'
                   'Content-Length: 5\r\nConnection: close\r\n\r\nhello'
                   % (kit.HOST, self.id, DEADLINE_MS, MODEL))
        try:
            with socket.create_connection((host, int(port)), 1.0) as link:
                link.settimeout(DEADLINE_MS / 1000.0)
                link.sendall(request.encode())
                while part := link.recv(65536):
                    self.data += part
            self.end = 'closed'
        except OSError as error:
            self.end = repr(error)

    @property
    def status(self):
        return int(self.data.split(b' ', 2)[1]) if self.data else None

    @property
    def is_complete(self):
        """Return whether the answer has its own end (last chunk, length)."""
        head, separator, body = self.data.partition(b'\r\n\r\n')
        if not separator:
            return False
        if b'transfer-encoding: chunked' in head.lower():
            return body.endswith(b'0\r\n\r\n')
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                return len(body) >= int(line.partition(b':')[2])
        return False

    @property
    def pieces(self):
        return self.data.count(b'piece ')


def run(site):
    time.sleep(5.0)
    status, _, answer = kit.call(
        site.ip(1) + ':8143', 'GET',
        '/api/resolve?name=%s&region=r1&zone=z1' % kit.HOST)
    site.record('the directory answers %d %s' % (status, answer))
    found = json.loads(answer)
    if site.front(1) not in found['addresses']:
        raise kit.NotRunnable('the directory does not name gateway 1')
    keeps_for = 3 * found['ttlS']
    time.sleep(0.1)
    stopped_at = time.monotonic()
    if site.trouble:
        site.signal(1, signal.SIGTERM)
    clients = []
    for number, at in enumerate(SENT_AT):
        assert at + 0.1 < keeps_for
        time.sleep(max(0.0, stopped_at + at - time.monotonic()))
        client = Client(site.front(1), number)
        client.start()
        clients.append(client)
        site.record('request %s is sent %.1f s after' % (client.id, at))
    time.sleep(max(0.0, stopped_at + GRACE_S - time.monotonic()))
    process = site.processes['gateway-1']
    if site.trouble and process.poll() is None:
        site.signal(1, signal.SIGKILL)
    for client in clients:
        client.join(DEADLINE_MS / 1000.0)
    runs = site.runs()
    lost = 0
    for client in clients:
        is_lost = not client.is_complete and runs.get(client.id, 0) > 0
        lost += is_lost
        site.record('request %s: status %s, %d of %d pieces, complete %s, '
                    'runs %d, end %s%s'
                    % (client.id, client.status, client.pieces, EVENTS,
                       client.is_complete, runs.get(client.id, 0), client.end,
                       ': LOST' if is_lost else ''))
    served = sum(c.is_complete and c.pieces == EVENTS for c in clients)
    if not site.trouble and served < len(clients):
        raise kit.NotRunnable('not every request was served without trouble')
    site.record('%d of %d requests were passed on to a worker and ended '
                'without a complete answer; rule LOST is %s'
                % (lost, len(clients), 'broken' if lost else 'kept'))
    return lost > 0


if __name__ == '__main__':
    kit.main(kit.Site(RECORD, TROUBLE, WORKERS, ROUTES, SERVICES), run)
