"""Stand in for workers: plain services and model workers."""

from __future__ import annotations

import asyncio
import json

from http_server import ABORT
from http_server import Reply
from http_server import Server
from http_server import WRITTEN

MODEL = 'm0'
LOAD_SECONDS = 0.9


class Worker:
    """Run requests in slots; register in the store while alive."""

    def __init__(
        self,
        store,
        record,
        name,
        service,
        zone,
        slots,
        *,
        is_engine,
        work_seconds=0.03,
        event_seconds=0.1,
        events=15,
    ):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.is_engine = is_engine
        self.work_seconds = work_seconds
        self.event_seconds = event_seconds
        self.events = events
        # Called with a request's id; returns whether the worker answers 500.
        self.fails = lambda request_id: False
        self.version = 1
        self.id = ''
        self.address = ''
        self.running = set()
        self._orders = 0
        self._is_busy = False
        self._starts = 0
        self._server = None

    async def start(self, host, port=0):
        """Start, or start again as a new incarnation with a new id."""
        self._starts += 1
        self.id = f'i-{self.name}-{self._starts}'
        self._orders, self._is_busy = 0, False
        self._server = Server(self._handle)
        port = await self._server.start(host, port)
        self.address = f'{host}:{port}'
        self._register()

    def crash(self):
        """End at once; the entry stays until the store drops it."""
        ended = self.id
        self._server.crash()
        self.running.clear()
        self.record(f'worker {ended} crashed')
        return ended

    def _register(self):
        models = [{'name': MODEL, 'version': self.version, 'adapters': []}]
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
        }
        if self.is_engine:
            entry.update(stage='both', models=models)
        self.store.put(f'servers/{self.id}', json.dumps(entry).encode())

    async def _handle(self, request):
        expected = request.header('expect-instance')
        if expected and expected != self.id:
            return Reply(421, headers=[('Instance-Id', self.id)])
        if request.path == '/health':
            return Reply(200, headers=[('Instance-Id', self.id)])
        if request.path == '/api/report':
            return self._report()
        if request.path == '/api/order':
            return self._order(json.loads(request.body))
        request_id = request.header('request-id')
        if not request_id:
            return Reply(400, headers=[('Not-Run', '1')])
        if len(self.running) >= self.slots + 4:
            return self._refusal(request_id)
        run = (request_id, object())
        self.running.add(run)
        self.record(
            f'worker {self.id} begins {request_id}'
            f' after={request.header("last-event-id") or 0}'
        )
        try:
            if self.fails(request_id):
                self.record(f'worker {self.id} answers 500 to {request_id}')
                return Reply(500, b'failed', self._head(request_id))
            if self.is_engine:
                return await self._generate(request, request_id)
            await asyncio.sleep(self.work_seconds)
            body = f'answer to {request_id}'.encode()
            return Reply(200, body, self._head(request_id))
        finally:
            self.running.discard(run)

    def _refusal(self, request_id):
        head = [('Request-Id', request_id), ('Not-Run', '1')]
        return Reply(503, headers=head)

    def _head(self, request_id):
        stamp = f'stamp.{self.id}.{request_id}'
        return [('Request-Id', request_id), ('Response-Stamp', stamp)]

    async def _generate(self, request, request_id):
        writer = request.writer
        lines = ['HTTP/1.1 200 OK']
        head = self._head(request_id)
        head += [
            ('Weight-Versions', self.version),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        lines += [f'{name}: {value}' for name, value in head]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        version = self.version
        first = int(request.header('last-event-id') or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            if writer.is_closing() or request.reader.at_eof():
                self.record(f'worker {self.id} drops {request_id}')
                return ABORT
            prefix = ''
            if version != self.version:
                version = self.version
                prefix = f'weight-versions: {version}\n'
            data = event_data(request_id, number)
            event = f'{prefix}id: {number}\ndata: {data}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
        writer.write(b'0\r\n\r\n')
        self.record(f'worker {self.id} completes {request_id}')
        return WRITTEN

    def _report(self):
        found = {
            'stage': 'both',
            'models': [
                {'name': MODEL, 'version': self.version, 'adapters': []}
            ],
            'busy': self._is_busy,
            'seq': self._orders,
            'waiting': 0,
            'running': len(self.running),
            'kvUsed': 0,
            'kvTotal': 70000,
            'handles': 0,
        }
        return Reply(200, json.dumps(found).encode())

    def _order(self, order):
        self.record(f'worker {self.id} gets order {order}')
        if 'holder' not in order or 'fence' not in order:
            return Reply(400)
        if order['version'] == self.version:
            return Reply(200)
        if self._is_busy or order.get('expected', self._orders) != (
            self._orders
        ):
            return Reply(409)
        self._orders += 1
        self._is_busy = True
        asyncio.create_task(self._load(order['version']))
        return Reply(202)

    async def _load(self, version):
        await asyncio.sleep(LOAD_SECONDS)
        self._is_busy = False
        self.version = version
        self._register()


def event_data(request_id, number):
    return f'{request_id}.{number}'


def whole_text(request_id, events):
    """Return the text of an item whose events all arrived."""
    return '\n'.join(event_data(request_id, n) for n in range(1, events + 1))
