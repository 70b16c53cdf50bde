"""A worker's silence ends streams of a gateway that is being stopped."""

import pathlib
import signal
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / 'target/review/standins-2'))

import kit  # noqa: E402

MODEL = 'daka510000'
GRACE_S = 8.0
DEADLINE_MS = 12000
# A stream of 40 pieces, one each 60 ms: 2.4 s, and the pause.
EVENTS = 40
EVENT_MS = 60
PAUSE_BEFORE = 12
# Shorter than the two seconds for which clients bear a gap.
PAUSE_MS = 1800
REQUESTS = 6
ROUTES = [
    {'name': 'talk', 'host': kit.HOST, 'prefix': '/lohu930/',
     'routeType': 'stream', 'timeoutMs': 10000, 'targetLatencyMs': 400,
     'priority': 1, 'service': 'engines', 'maxAttempts': 3},
]
SERVICES = [
    {'name': 'engines', 'healthPath': '/health', 'maxConns': 130,
     'engine': {'slots': 8, 'kvTokens': 69777, 'models': [{'name': MODEL}]}},
]


def workers(pauses):
    found = [{'id': 'i-model-%d' % number, 'service': 'engines',
              'models': [MODEL], 'events': EVENTS, 'eventMs': EVENT_MS}
             for number in (1, 2)]
    if pauses:
        for worker in found:
            worker.update(pauseBefore=PAUSE_BEFORE, pauseMs=PAUSE_MS)
    return found


class Client(threading.Thread):
    """Send one request over a kept connection and read the whole stream."""

    def __init__(self, address, number):
        super().__init__(daemon=True)
        self.address = address
        self.id = '9c41d07be2a35f%02x' % number
        self.data = b''
        self.end = 'no end'
        self.seconds = 0.0

    def run(self):
        host, _, port = self.address.rpartition(':')
        request = ('POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n'
                   'Deadline-Ms: %d\r\nModel: %s\r\nToken-Usage: 540,400\r\n'
                   'Content-Length: 5\r\n\r\nhello'
                   % (kit.HOST, self.id, DEADLINE_MS, MODEL))
        began_at = time.monotonic()
        try:
            with socket.create_connection((host, int(port)), 1.0) as link:
                link.settimeout(DEADLINE_MS / 1000.0)
                link.sendall(request.encode())
                while not self.is_complete:
                    part = link.recv(65536)
                    if not part:
                        break
                    self.data += part
            self.end = 'complete' if self.is_complete else 'closed'
        except OSError as error:
            self.end = repr(error)
        self.seconds = time.monotonic() - began_at

    @property
    def is_complete(self):
        return self.data.endswith(b'0\r\n\r\n')

    @property
    def pieces(self):
        return self.data.count(b'piece ')


def run(site):
    time.sleep(5.0)
    clients = [Client(site.front(1), number) for number in range(REQUESTS)]
    for client in clients:
        client.start()
    time.sleep(0.5)
    stopped_at = time.monotonic()
    # Planned work, with and without trouble.
    site.signal(1, signal.SIGTERM)
    for client in clients:
        client.join(DEADLINE_MS / 1000.0)
    site.record('all streams have ended %.1f s after the SIGTERM'
                % (time.monotonic() - stopped_at))
    time.sleep(max(0.0, stopped_at + GRACE_S - time.monotonic()))
    runs = site.runs()
    lost = 0
    for client in clients:
        is_lost = not client.is_complete and runs.get(client.id, 0) > 0
        lost += is_lost
        site.record('request %s: %d of %d pieces after %.1f s, runs %d, end '
                    '%s%s' % (client.id, client.pieces, EVENTS, client.seconds,
                              runs.get(client.id, 0), client.end,
                              ': LOST' if is_lost else ''))
    site.record('%d of %d requests were passed on to a worker and ended '
                'without a complete answer; rule LOST is %s'
                % (lost, len(clients), 'broken' if lost else 'kept'))
    return lost > 0


if __name__ == '__main__':
    case = kit.Site(HERE, [], ROUTES, SERVICES)
    case.set_workers(workers(case.trouble))
    kit.main(case, run)
