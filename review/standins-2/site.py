"""Stand-ins of the platform's store, of workers and of a proxy-free site.

One process serves the store, the workers and a control port. It follows the
users' pages PROTOCOL.md and DEPLOY.md; where they are silent it behaves like
a sound store or worker. Only the standard library is used.

Usage: site.py SITE.json
"""

import asyncio
import base64
import json
import sys
import time
import urllib.parse

REASONS = {200: 'OK', 202: 'Accepted', 404: 'Not Found', 409: 'Conflict',
           410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected Request',
           429: 'Too Many Requests', 500: 'Internal Server Error',
           503: 'Service Unavailable', 403: 'Forbidden'}


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = {name: values[0] for name, values in
                      urllib.parse.parse_qs(query).items()}
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


def encode(status, body=b'', headers=()):
    lines = ['HTTP/1.1 %d %s' % (status, REASONS.get(status, 'Status'))]
    lines += ['%s: %s' % header for header in headers]
    lines.append('Content-Length: %d' % len(body))
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def serve(address, handle, writers=None):
    """Listen at an address; `handle` answers each request of a connection."""
    host, _, port = address.rpartition(':')

    async def connected(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    return await asyncio.start_server(connected, host, int(port), backlog=512)


class Store:
    """The platform's key-value store."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        # 'up', or 'busy': every call is answered with 503, nothing is done.
        self.mode = 'up'
        # Once set, the next conditional write of so many bytes or more is
        # carried out, its answer is lost and the store is busy from then on,
        # for so many seconds.
        self.outage_after_write_of = None
        self.outage_seconds = 0.0

    def put(self, key, value, lease=0):
        known = self.items.get(key)
        item = {'key': key, 'value': base64.b64encode(value).decode(),
                'rev': self.revision, 'lease': lease,
                'createdRev': known['createdRev'] if known else self.revision}
        self.items[key] = item
        self.history.append(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append(
                {'key': key, 'rev': self.revision, 'deleted': True})

    async def write_as_operator(self, key, value):
        self.revision += 1
        self.put(key, json.dumps(value).encode())
        await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.mode != 'up':
                # Leases pause while the store is down.
                for lease in self.leases.values():
                    lease[1] += 0.05
                continue
            for number, (_, ends_at) in list(self.leases.items()):
                if now >= ends_at:
                    await self.end_lease(number)

    async def end_lease(self, number):
        if self.leases.pop(number, None) is None:
            return
        for item in list(self.items.values()):
            if item['lease'] == number:
                self.revision += 1
                self.remove(item['key'])
        await self.notify()

    async def handle(self, request, writer):
        await asyncio.sleep(0.004)
        if self.mode == 'busy':
            writer.write(encode(503))
            await writer.drain()
            return True
        status, answer = await self.answer(request)
        limit = self.outage_after_write_of
        if (limit is not None and request.path == '/api/kv-txn'
                and status == 200 and len(request.body) >= limit):
            self.outage_after_write_of = None
            self.mode = 'busy'
            self.record('store: a write of %d bytes is done, its answer is '
                        'lost; busy for %.1f s'
                        % (len(request.body), self.outage_seconds))
            asyncio.get_running_loop().call_later(
                self.outage_seconds, self.end_outage)
            await self.notify()
            return False
        if self.mode == 'busy':
            # A watch that was waiting is cut.
            return False
        writer.write(encode(status, json.dumps(answer).encode(),
                            [('Content-Type', 'application/json')]))
        await writer.drain()
        return True

    def end_outage(self):
        self.mode = 'up'
        self.record('store: up again')

    async def answer(self, request):
        name = request.path[len('/api/'):].split('/')
        query = request.query
        if name == ['kv-key']:
            item = self.items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, dict(item, currentRev=self.revision)
        if name == ['kv-range']:
            found = [self.items[key] for key in sorted(self.items)
                     if key.startswith(query['prefix'])
                     and key > query.get('after', '')]
            return 200, {'items': found[:500], 'truncated': len(found) > 500,
                         'currentRev': self.revision}
        if name == ['kv-watch']:
            return await self.watch(query)
        if name == ['kv-txn']:
            return await self.transact(json.loads(request.body))
        if name == ['kv-lease']:
            seconds = json.loads(request.body)['ttlMs'] / 1000.0
            number, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[number] = [seconds, time.monotonic() + seconds]
            return 200, {'lease': number, 'ttlMs': seconds * 1000.0}
        if name[0] == 'kv-keep':
            lease = self.leases.get(int(name[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {'ttlMs': lease[0] * 1000.0}
        if name[0] == 'kv-lease-end':
            await self.end_lease(int(name[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['waitMs']) / 1000.0
        while True:
            events = [event for event in self.history if event['rev'] > after
                      and event['key'].startswith(query['prefix'])]
            left = ends_at - time.monotonic()
            if events or left <= 0.0 or self.mode == 'busy':
                return 200, {'events': events, 'currentRev': self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        for put in body['puts']:
            if put['key'].startswith(('op/', 'servers/')):
                return 403, {}
            if put['lease'] and put['lease'] not in self.leases:
                return 404, {}
        for each in body['expected']:
            item = self.items.get(each['key'])
            if each['rev'] != (item['rev'] if item else 0):
                found = [self.items[e['key']] for e in body['expected']
                         if e['key'] in self.items]
                return 412, {'items': found}
        self.revision += 1
        for put in body['puts']:
            self.put(put['key'], base64.b64decode(put['value']), put['lease'])
        for key in body['remove']:
            self.remove(key)
        await self.notify()
        return 200, {'rev': self.revision}


class Worker:
    """A plain worker or a model worker."""

    def __init__(self, spec, record):
        self.id = spec['id']
        self.service = spec['service']
        self.address = spec['address']
        self.models = spec.get('models', [])
        self.work_ms = spec.get('workMs', 20)
        self.events = spec.get('events', 10)
        self.event_ms = spec.get('eventMs', 20)
        # Number of the event before which the worker pauses, and how long:
        # it has preempted the run and reads its prompt in again.
        self.pause_before = spec.get('pauseBefore')
        self.pause_ms = spec.get('pauseMs', 0)
        # One in so many requests is rejected as it comes for the first time,
        # since the worker is full, and taken when it comes again.
        self.reject_each = spec.get('rejectEach')
        # Numbers of the rejections that are followed by a second answer, late:
        # at the point where the next answer on that connection is expected.
        self.extra_after = set(spec.get('extraAfter', ()))
        self.rejected = set()
        # Called with the request id as a run begins, and as it ends.
        self.on_run = lambda worker, number, is_begin: None
        self.writers = set()
        self.server = None
        self.starts = 0
        # The second answer that is still to come, by connection.
        self.extra_by_connection = {}
        self.versions = {name: 1 for name in self.models}
        self.orders = 0
        self.record = record
        # Number of runs that began, by request id.
        self.runs = {}

    def entry(self):
        models = [{'name': name, 'version': version, 'adapters': []}
                  for name, version in self.versions.items()]
        return {'service': self.service, 'address': self.address, 'zone': 'z1',
                'version': 'v1', 'slots': 8, 'state': 'ready', 'coldLeftMs': 0,
                'stage': 'both', 'models': models, 'seq': 1}

    async def handle(self, request, writer):
        expected = request.headers.get('expect-instance')
        if expected is not None and expected != self.id:
            writer.write(encode(421, b'', [('Instance-Id', self.id)]))
            await writer.drain()
            return True
        if request.path == '/health':
            writer.write(encode(200, b'', [('Instance-Id', self.id)]))
        elif request.path == '/api/report':
            models = [{'name': name, 'version': version, 'adapters': []}
                      for name, version in self.versions.items()]
            report = {'stage': 'both', 'models': models, 'busy': False,
                      'seq': self.orders, 'waiting': 0, 'running': 0,
                      'kvUsed': 0, 'kvTotal': 90000, 'handles': 0}
            writer.write(encode(200, json.dumps(report).encode(),
                                [('Content-Type', 'application/json')]))
        elif request.path == '/api/order':
            self.orders += 1
            writer.write(encode(202))
        else:
            return await self.serve_request(request, writer)
        await writer.drain()
        return True

    async def serve_request(self, request, writer):
        number = request.headers.get('request-id', '')
        extra = self.extra_by_connection.pop(writer, None)
        if extra is not None:
            writer.write(extra)
            await writer.drain()
            self.record('worker %s: sends its second answer as %s has arrived'
                        % (self.id, number))
        if (self.reject_each and number not in self.rejected
                and int(number[-2:], 16) % self.reject_each == 0):
            self.rejected.add(number)
            answer = encode(503, b'', [('Request-Id', number),
                                       ('Not-Run', '1')])
            if len(self.rejected) in self.extra_after:
                self.extra_by_connection[writer] = answer
            writer.write(answer)
            await writer.drain()
            self.record('worker %s: rejects %s, it is full'
                        % (self.id, number))
            return True
        if self.models:
            return await self.generate(request, writer)
        return await self.run(request, writer)

    def begin(self, request):
        number = request.headers.get('request-id', '')
        self.runs[number] = self.runs.get(number, 0) + 1
        self.record('worker %s: run of %s begins' % (self.id, number))
        self.on_run(self, number, True)
        return number

    async def run(self, request, writer):
        number = self.begin(request)
        await asyncio.sleep(self.work_ms / 1000.0)
        writer.write(encode(200, b'done ' + number.encode(),
                            self.head(number)))
        await writer.drain()
        return True

    def head(self, number):
        return [('Request-Id', number), ('Response-Stamp', 'stamp.' + number)]

    async def listen(self):
        self.server = await serve(self.address, self.handle, self.writers)

    async def crash(self, store, seconds):
        """End at once, and start again under another id; say nothing."""
        ended = self.id
        self.record('worker %s: crashes, for %.1f s' % (ended, seconds))
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

        async def expire():
            # Three heartbeat intervals of silence.
            await asyncio.sleep(3.6)
            store.revision += 1
            store.remove('servers/' + ended)
            await store.notify()

        self.expiring = asyncio.ensure_future(expire())
        await asyncio.sleep(seconds)
        self.starts += 1
        self.id = '%s-%d' % (ended.split('+')[0], self.starts)
        await self.listen()
        await store.write_as_operator('servers/' + self.id, self.entry())
        self.record('worker %s: is back as %s' % (ended, self.id))

    async def generate(self, request, writer):
        number = request.headers.get('request-id', '')
        try:
            return await self.send_events(request, writer)
        finally:
            self.on_run(self, number, False)

    async def send_events(self, request, writer):
        number = request.headers.get('request-id', '')
        first = int(request.headers.get('last-event-id') or 0) + 1
        version = self.versions[self.models[0]]
        head = self.head(number) + [
            ('Weight-Versions', version),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked')]
        lines = ['HTTP/1.1 200 OK'] + ['%s: %s' % each for each in head]
        data = '\r\n'.join(lines) + '\r\n\r\n'
        for event in range(first, self.events + 1):
            await asyncio.sleep(self.event_ms / 1000.0)
            if event == self.pause_before:
                await asyncio.sleep(self.pause_ms / 1000.0)
            if writer.transport.is_closing():
                self.record('worker %s: connection of %s is closed before '
                            'event %d of %d'
                            % (self.id, number, event, self.events))
                return False
            if event == first:
                # A request begins to run with its first token.
                self.begin(request)
            piece = 'id: %d\ndata: %s piece %d\n\n' % (event, number, event)
            data += '%x\r\n%s\r\n' % (len(piece), piece)
            writer.write(data.encode())
            await writer.drain()
            data = ''
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.record('worker %s: run of %s is complete' % (self.id, number))
        return True


async def main(path):
    with open(path) as file:
        spec = json.load(file)
    began_at = time.monotonic()
    log = open(spec['log'], 'a', buffering=1)

    def record(text):
        log.write('%.3f %s\n' % (time.time(), text))

    store = Store(record)
    workers = [Worker(each, record) for each in spec['workers']]
    await serve(spec['store'], store.handle)
    for worker in workers:
        await worker.listen()
        await store.write_as_operator('servers/' + worker.id, worker.entry())
    await store.write_as_operator('op/config', spec['config'])

    # A burst of crashes: which request is under way at each worker that
    # crashes, how many crashes there are, and what runs of it there were.
    burst = {'request': None, 'left': 0, 'after': 0.0, 'for': 0.4}
    intervals = {}
    crashes = []

    def note_run(worker, number, is_begin):
        spans = intervals.setdefault(number, [])
        if not is_begin:
            if spans and spans[-1][1] is None:
                spans[-1][1] = time.time()
            return
        spans.append([time.time(), None])
        if number == burst['request'] and burst['left'] > 0:
            burst['left'] -= 1

            async def strike():
                await asyncio.sleep(burst['after'])
                crashes.append(time.time())
                await worker.crash(store, burst['for'])

            tasks.append(asyncio.ensure_future(strike()))

    tasks = []
    for worker in workers:
        worker.on_run = note_run

    async def control(request, writer):
        body = json.loads(request.body or b'{}')
        if request.path == '/outage-after-write':
            store.outage_after_write_of = body['bytes']
            store.outage_seconds = body['seconds']
        elif request.path == '/store':
            store.mode = body['mode']
            record('store: %s' % body['mode'])
            await store.notify()
        elif request.path == '/put':
            await store.write_as_operator(body['key'], body['value'])
        elif request.path == '/burst':
            burst.update(body)
        elif request.path == '/put-bytes':
            # Another writer's value, not necessarily JSON.
            store.revision += 1
            store.put(body['key'], base64.b64decode(body['base64']))
            await store.notify()
            record('store: another writer puts %s' % body['key'])
        runs = {worker.id: worker.runs for worker in workers}
        answer = {'runs': runs, 'mode': store.mode, 'crashes': crashes,
                  'intervals': intervals}
        writer.write(encode(200, json.dumps(answer).encode()))
        await writer.drain()
        return True

    await serve(spec['control'], control)
    # Ends by itself, should the script that started it be gone.
    expiring = asyncio.ensure_future(store.expire())
    await asyncio.sleep(spec.get('seconds', 120) - (time.monotonic() - began_at))
    expiring.cancel()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
