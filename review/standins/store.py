"""Stand in for the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json

from http_server import ABORT
from http_server import Reply
from http_server import Server

ANSWER_SECONDS = 0.004
HISTORY_SECONDS = 20.0
PAGE_ITEMS = 500
VALUE_BYTES = 1048576
READ_ONLY = ('op/', 'servers/')
_JSON = [('Content-Type', 'application/json')]


class Store:
    """Hold keys, leases and watches; linearizable, with one revision."""

    def __init__(self):
        # Called with each call before it is carried out; returns a Reply to
        # answer with instead, or None.
        self.before = lambda name, request: None
        # Called with each carried out transaction; returns a Reply or None.
        self.after_txn = lambda body, reply: None
        self.items = {}
        self.revision = 100
        # Addresses of this store that are cut off: they accept connections
        # and answer nothing, as behind a silent partition.
        self._healed_by_address = {}
        # Open watches: (address of this store that was called, prefix).
        self.watches = []
        self._history = []
        self._lost_revision = 0
        self._leases = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self._servers = []
        self._expiring = None

    async def listen(self, host):
        """Listen at one more address and return it as HOST:PORT."""
        address = []

        async def handle(request):
            await self._wait_for_path(address[0])
            if request.writer.is_closing() or request.reader.at_eof():
                return ABORT
            reply = await self._answer(address[0], request)
            await self._wait_for_path(address[0])
            return reply

        server = Server(handle)
        port = await server.start(host, 0)
        address.append(f'{host}:{port}')
        self._servers.append(server)
        if self._expiring is None:
            self._expiring = asyncio.create_task(self._expire_repeatedly())
        return address[0]

    def cut(self, address):
        """Partition the callers of one address from the store."""
        self._healed_by_address[address] = asyncio.Event()

    def heal(self, address):
        """End the partition of one address."""
        self._healed_by_address.pop(address).set()

    async def _wait_for_path(self, address):
        while (healed := self._healed_by_address.get(address)) is not None:
            await healed.wait()

    def put(self, key, value):
        """Write a key as an operator, a trainer or a worker does."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), 0)
        self._wake()
        return self.revision

    def remove(self, key):
        self.revision += 1
        self._remove(key)
        self._wake()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item['value'])

    async def _answer(self, address, request):
        name = request.path.removeprefix('/api/')
        early = self.before(name, request)
        if asyncio.iscoroutine(early):
            early = await early
        if early is not None:
            return early
        await asyncio.sleep(ANSWER_SECONDS)
        if name == 'kv-watch':
            return await self._watch(address, request)
        if name == 'kv-key':
            item = self.items.get(request.query['key'])
            if item is None:
                return Reply(404)
            return _json(200, {**item, 'currentRev': self.revision})
        if name == 'kv-range':
            return self._range(request.query)
        if name == 'kv-txn':
            body = json.loads(request.body)
            reply = self._transact(body)
            if reply.status == 200:
                other = self.after_txn(body, reply)
                if asyncio.iscoroutine(other):
                    other = await other
                return other or reply
            return reply
        return self._lease_call(name, request)

    def _range(self, query):
        prefix, after = query['prefix'], query.get('after', '')
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        page = found[:PAGE_ITEMS]
        return _json(
            200,
            {
                'items': page,
                'truncated': len(page) < len(found),
                'currentRev': self.revision,
            },
        )

    async def _watch(self, address, request):
        prefix = request.query['prefix']
        after = int(request.query['after'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query['waitMs']) / 1000.0
        entry = (address, prefix)
        self.watches.append(entry)
        try:
            while True:
                if after < self._lost_revision:
                    return Reply(410)
                events = [
                    event
                    for event in self._history
                    if event['rev'] > after
                    and event['key'].startswith(prefix)
                ]
                left = until - loop.time()
                if events or left <= 0.0:
                    return _json(
                        200, {'events': events, 'currentRev': self.revision}
                    )
                changed = self._changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
                if request.writer.is_closing():
                    return ABORT
        finally:
            self.watches.remove(entry)

    def _transact(self, body):
        for key in [put['key'] for put in body['puts']] + body['remove']:
            if key.startswith(READ_ONLY):
                return Reply(403)
        for put in body['puts']:
            if len(base64.b64decode(put['value'])) > VALUE_BYTES:
                return Reply(400)
            if put.get('lease') and put['lease'] not in self._leases:
                return Reply(404)
        current = [
            (each['rev'], self.items.get(each['key']))
            for each in body['expected']
        ]
        if any(rev != (item['rev'] if item else 0) for rev, item in current):
            return _json(412, {'items': [i for _, i in current if i]})
        self.revision += 1
        for put in body['puts']:
            self._put(put['key'], put['value'], put.get('lease', 0))
        for key in body['remove']:
            self._remove(key)
        self._wake()
        return _json(200, {'rev': self.revision})

    def _lease_call(self, name, request):
        loop = asyncio.get_running_loop()
        kind, _, number = name.partition('/')
        if kind == 'kv-lease':
            seconds = max(1.0, json.loads(request.body)['ttlMs'] / 1000.0)
            lease = next(self._lease_ids)
            self._leases[lease] = (seconds, loop.time() + seconds)
            return _json(200, {'lease': lease, 'ttlMs': seconds * 1000})
        lease = int(number)
        if lease not in self._leases:
            return Reply(404)
        if kind == 'kv-keep':
            seconds = self._leases[lease][0]
            self._leases[lease] = (seconds, loop.time() + seconds)
            return _json(200, {'lease': lease, 'ttlMs': seconds * 1000})
        self._end_lease(lease)
        return _json(200, {})

    def pause_leases(self, seconds):
        """Let all leases run longer, as after an outage of the store."""
        for lease, (ttl, until) in self._leases.items():
            self._leases[lease] = (ttl, until + seconds)

    async def _expire_repeatedly(self):
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            for lease, (_, until) in list(self._leases.items()):
                if now >= until:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self._leases[lease]
        keys = [k for k, item in self.items.items() if item['lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._wake()

    def _put(self, key, value, lease):
        known = self.items.get(key)
        item = {
            'key': key,
            'value': value,
            'rev': self.revision,
            'createdRev': known['createdRev'] if known else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._keep({**item})

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self._keep({'key': key, 'rev': self.revision, 'deleted': True})

    def _keep(self, event):
        now = asyncio.get_running_loop().time()
        event_at = now
        self._history.append(event)
        event['_at'] = event_at
        while self._history[0]['_at'] < now - HISTORY_SECONDS:
            self._lost_revision = self._history.pop(0)['rev']

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _json(status, value):
    body = json.dumps(value, default=str).encode()
    return Reply(status, body, _JSON)
