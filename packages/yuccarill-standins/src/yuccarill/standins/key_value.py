"""Stand in for the platform's key-value service."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import klein
import msgspec
from twisted.internet import defer

from yuccarill.standins import faults
from yuccarill.standins import key_space
from yuccarill.standins import server
from yuccarill.standins import writes

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_SECONDS = 30.0


class KeyValueFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Name the faults of the key-value service."""

    seconds_per_call: float = 0.001
    # Every call is answered with status 503.
    is_down: bool = False
    # Calls are taken and never answered; writes have no effect.
    is_silent: bool = False
    # The next writes take effect, and their connection closes unanswered.
    lose_replies: int = 0
    # Reads that are answered with status 503 after each lost reply.
    fail_reads_after: int = 0
    # Seconds after which a write is carried out, whoever still waits.
    delay_writes: float = 0.0
    # The next writes are held back until they are released, whoever waits.
    hold_writes: int = 0
    # Counted faults strike writes of keys that begin with this.
    only_keys: str = ''


class KeyValueStandIn:
    """Offer compare-and-swap, watches, leases and listing over HTTP."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._faults = faults.FaultSwitch(KeyValueFaults())
        self._space = key_space.KeySpace()
        self._calls_by_kind: collections.Counter[str] = collections.Counter()
        self._record = writes.WriteRecord()
        self._waiting = 0
        self._failing_reads = 0

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def order_faults(self, request: IRequest) -> bytes:
        answer = self._faults.answer(request)
        if self._faults.now.is_down or self._faults.now.is_silent:
            # An outage reaches those who wait as well.
            self._space.wake_all()
        return answer

    @app.route('/admin/calls', methods=['GET'])
    def calls(self, request: IRequest) -> bytes:
        counted = {**self._calls_by_kind, 'waiting_watches': self._waiting}
        return server.reply_json(request, counted)

    @app.route('/admin/writes', methods=['GET'])
    def show_writes(self, request: IRequest) -> bytes:
        prefix = request.args.get(b'prefix', [b''])[0].decode()
        recorded = msgspec.to_builtins(self._record.of(prefix))
        return server.reply_json(request, recorded)

    @app.route('/admin/held', methods=['GET', 'PUT'])
    def release_held(self, request: IRequest) -> bytes:
        """Return the keys of held writes, and on PUT release them."""
        held = self._record.held()
        if request.method == b'PUT':
            self._record.release()
        return server.reply_json(request, held)

    @app.route('/v1/keys', methods=['GET'])
    async def show_keys(self, request: IRequest) -> bytes:
        refusal = await self._refusal(request, 'list')
        if refusal is not None:
            return refusal
        prefix = request.args.get(b'prefix', [b''])[0].decode()
        return server.reply_json(request, self._space.versions(prefix))

    @app.route('/v1/keys/<path:key>', methods=['GET'])
    async def get(self, request: IRequest, key: str) -> bytes:
        after = request.args.get(b'after')
        kind = 'read' if after is None else 'watch'
        refusal = await self._refusal(request, kind)
        if refusal is not None:
            return refusal
        if kind == 'read' and self._fails_read(key):
            return server.reply_json(request, {'error': 'down'}, 503)
        if after is not None and self._space.version(key) <= int(after[0]):
            await self._wait(request, key)
            refusal = await self._outage(request)
            if refusal is not None:
                return refusal
        version, value = self._space.get(key)
        request.setHeader('X-Version', str(version))
        request.setResponseCode(200 if version else 404)
        return value

    @app.route('/v1/keys/<path:key>', methods=['PUT'])
    async def put(self, request: IRequest, key: str) -> bytes:
        """Write a key; X-Lease-Seconds removes it unless written again."""
        value = request.content.read()
        if len(value) > MAX_VALUE_BYTES:
            return server.reply_json(request, {'error': 'too long'}, 413)
        lease = request.getHeader('X-Lease-Seconds')
        return await self._write(
            request, key, value, float(lease) if lease else None
        )

    @app.route('/v1/keys/<path:key>', methods=['DELETE'])
    async def delete(self, request: IRequest, key: str) -> bytes:
        return await self._write(request, key, None, None)

    async def _write(
        self,
        request: IRequest,
        key: str,
        value: bytes | None,
        lease_seconds: float | None,
    ) -> bytes:
        refusal = await self._refusal(request, 'write')
        if refusal is not None:
            return refusal
        # A request is cancelled when its client goes. Chained, the answer is
        # cancelled alone, and the write still takes effect, only late.
        answer: defer.Deferred[bytes] = defer.Deferred()
        carried_out = defer.ensureDeferred(
            self._carry_out(request, key, value, lease_seconds)
        )
        carried_out.chainDeferred(answer)
        return await answer

    async def _carry_out(
        self,
        request: IRequest,
        key: str,
        value: bytes | None,
        lease_seconds: float | None,
    ) -> bytes:
        await server.sleep(self._faults.now.delay_writes)
        if self._strikes('hold_writes', key):
            await self._record.hold(key)
        header = request.getHeader('X-Expected-Version')
        expected = None if header is None else int(header)
        standing = self._space.version(key)
        if expected is not None and expected != standing:
            outcome = writes.WriteOutcome.REFUSED
            self._note(key, expected, standing, outcome)
            return server.reply_json(request, {'version': standing}, 412)
        version = self._space.put(key, value, lease_seconds)
        if self._strikes('lose_replies', key):
            outcome = writes.WriteOutcome.REPLY_LOST
            self._note(key, expected, version, outcome)
            self._failing_reads = self._faults.now.fail_reads_after
            server.cut(request)
            return b''
        self._note(key, expected, version, writes.WriteOutcome.WRITTEN)
        return server.reply_json(request, {'version': version})

    def _fails_read(self, key: str) -> bool:
        if not self._failing_reads or not self._is_meant(key):
            return False
        self._failing_reads -= 1
        return True

    def _is_meant(self, key: str) -> bool:
        return key.startswith(self._faults.now.only_keys)

    def _strikes(self, fault: str, key: str) -> bool:
        return self._is_meant(key) and self._faults.take(fault)

    def _note(
        self,
        key: str,
        expected: int | None,
        version: int,
        outcome: writes.WriteOutcome,
    ) -> None:
        self._record.note(
            writes.Write(
                key=key, expected=expected, version=version, outcome=outcome
            )
        )

    async def _wait(self, request: IRequest, key: str) -> None:
        wait = float(request.args.get(b'wait', [b'10'])[0])
        self._waiting += 1
        try:
            await self._space.changed(key, min(wait, MAX_WAIT_SECONDS))
        finally:
            self._waiting -= 1

    async def _refusal(self, request: IRequest, kind: str) -> bytes | None:
        self._calls_by_kind[kind] += 1
        await server.sleep(self._faults.now.seconds_per_call)
        return await self._outage(request)

    async def _outage(self, request: IRequest) -> bytes | None:
        if self._faults.now.is_silent:
            return await server.never()
        if self._faults.now.is_down:
            return server.reply_json(request, {'error': 'down'}, 503)
        return None
