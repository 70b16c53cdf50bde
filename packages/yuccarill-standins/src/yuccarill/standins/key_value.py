"""Stand-in for the platform's key-value service."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import klein
import msgspec
from twisted.internet import defer

from yuccarill.standins import faults
from yuccarill.standins import key_space
from yuccarill.standins import server
from yuccarill.standins import write_log

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_SECONDS = 30.0


class KeyValueFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults and delays of the key-value service."""

    seconds_per_call: float = 0.001
    # Every call is answered with status 503.
    is_down: bool = False
    # Calls are never answered; writes have no effect.
    is_silent: bool = False
    # Number of next writes that take effect and whose reply is lost.
    lose_replies: int = 0
    # Number of reads that fail with status 503 after each lost reply.
    fail_reads_after: int = 0
    # Seconds until a write takes effect, even if the client disconnects.
    delay_writes: float = 0.0
    # Number of next writes that wait until they are released.
    hold_writes: int = 0
    # Counted faults apply only to keys with this prefix.
    only_keys: str = ''


class KeyValueStandIn:
    """Serve compare-and-swap, watches, leases and listing over HTTP."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._faults = faults.FaultControl(KeyValueFaults())
        self._space = key_space.KeySpace()
        self._calls_by_kind: collections.Counter[str] = collections.Counter()
        self._write_log = write_log.WriteLog()
        self._open_watches = 0
        self._reads_to_fail = 0

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def configure_faults(self, request: IRequest) -> bytes:
        answer = self._faults.handle_request(request)
        if self._faults.current.is_down or self._faults.current.is_silent:
            # An outage also ends open watches.
            self._space.wake_all()
        return answer

    @app.route('/admin/calls', methods=['GET'])
    def show_calls(self, request: IRequest) -> bytes:
        counts = {**self._calls_by_kind, 'waiting_watches': self._open_watches}
        return server.reply_json(request, counts)

    @app.route('/admin/writes', methods=['GET'])
    def show_writes(self, request: IRequest) -> bytes:
        prefix = request.args.get(b'prefix', [b''])[0].decode()
        recorded = msgspec.to_builtins(self._write_log.with_prefix(prefix))
        return server.reply_json(request, recorded)

    @app.route('/admin/held', methods=['GET', 'PUT'])
    def release_held(self, request: IRequest) -> bytes:
        """Reply with the keys of held writes; a PUT releases them."""
        held = self._write_log.held_keys()
        if request.method == b'PUT':
            self._write_log.release()
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
        if kind == 'read' and self._consume_read_failure(key):
            return server.reply_json(request, {'error': 'down'}, 503)
        if after is not None and self._space.version(key) <= int(after[0]):
            await self._wait_for_change(request, key)
            refusal = await self._outage(request)
            if refusal is not None:
                return refusal
        version, value = self._space.get(key)
        request.setHeader('X-Version', str(version))
        request.setResponseCode(200 if version else 404)
        return value

    @app.route('/v1/keys/<path:key>', methods=['PUT'])
    async def put(self, request: IRequest, key: str) -> bytes:
        """Write a key, with a lease if X-Lease-Seconds is set."""
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
        # If the client disconnects, klein cancels the deferred of the reply.
        # The write has a separate deferred, so it still takes effect.
        answer: defer.Deferred[bytes] = defer.Deferred()
        writing = defer.ensureDeferred(
            self._execute_write(request, key, value, lease_seconds)
        )
        writing.chainDeferred(answer)
        return await answer

    async def _execute_write(
        self,
        request: IRequest,
        key: str,
        value: bytes | None,
        lease_seconds: float | None,
    ) -> bytes:
        await server.sleep(self._faults.current.delay_writes)
        if self._consume_fault('hold_writes', key):
            await self._write_log.hold(key)
        header = request.getHeader('X-Expected-Version')
        expected = None if header is None else int(header)
        current = self._space.version(key)
        if expected is not None and expected != current:
            outcome = write_log.WriteOutcome.REFUSED
            self._log_write(key, expected, current, outcome)
            return server.reply_json(request, {'version': current}, 412)
        version = self._space.put(key, value, lease_seconds)
        if self._consume_fault('lose_replies', key):
            outcome = write_log.WriteOutcome.REPLY_LOST
            self._log_write(key, expected, version, outcome)
            self._reads_to_fail = self._faults.current.fail_reads_after
            server.abort_connection(request)
            return b''
        self._log_write(key, expected, version, write_log.WriteOutcome.WRITTEN)
        return server.reply_json(request, {'version': version})

    def _consume_read_failure(self, key: str) -> bool:
        if not self._reads_to_fail or not self._is_fault_key(key):
            return False
        self._reads_to_fail -= 1
        return True

    def _is_fault_key(self, key: str) -> bool:
        return key.startswith(self._faults.current.only_keys)

    def _consume_fault(self, fault: str, key: str) -> bool:
        return self._is_fault_key(key) and self._faults.consume(fault)

    def _log_write(
        self,
        key: str,
        expected: int | None,
        version: int,
        outcome: write_log.WriteOutcome,
    ) -> None:
        self._write_log.add(
            write_log.Write(
                key=key, expected=expected, version=version, outcome=outcome
            )
        )

    async def _wait_for_change(self, request: IRequest, key: str) -> None:
        wait = float(request.args.get(b'wait', [b'10'])[0])
        self._open_watches += 1
        try:
            await self._space.wait_for_change(key, min(wait, MAX_WAIT_SECONDS))
        finally:
            self._open_watches -= 1

    async def _refusal(self, request: IRequest, kind: str) -> bytes | None:
        self._calls_by_kind[kind] += 1
        await server.sleep(self._faults.current.seconds_per_call)
        return await self._outage(request)

    async def _outage(self, request: IRequest) -> bytes | None:
        if self._faults.current.is_silent:
            return await server.reply_never()
        if self._faults.current.is_down:
            return server.reply_json(request, {'error': 'down'}, 503)
        return None
