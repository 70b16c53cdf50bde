"""Send requests to the instances that the operator named."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from yuccarill.cli import failures
from yuccarill.cli import transport as transport_module
from yuccarill.wire import operators

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from yuccarill.cli.transport import Reply
    from yuccarill.cli.transport import Transport

CALL_SECONDS = 10.0
_BASE = '/v1/'
_OK = 200

T = TypeVar('T')


class Session:
    """Read from the first instance that answers; write at most once."""

    def __init__(
        self,
        addresses: Sequence[str],
        transport: Transport,
        run: Callable[[Awaitable[Any]], Any],
    ) -> None:
        self.addresses = addresses
        self._transport = transport
        self._run = run

    def run(self, awaitable: Awaitable[T]) -> T:
        """Run a command's awaitable and return its result."""
        result: T = self._run(awaitable)
        return result

    async def read(self, path: str, reply_type: type[T], last: str = '') -> T:
        """Read from the first address that answers; try address `last` last.

        Raises Unreachable or Refused.
        """
        causes = []
        for address in sorted(self.addresses, key=lambda a: a == last):
            try:
                return await self.read_at(address, path, reply_type)
            except failures.Unreachable as failure:
                causes.append(failure.message)
        raise failures.Unreachable('\n'.join(causes))

    async def read_at(self, address: str, path: str, reply_type: type[T]) -> T:
        """Read from one address.

        Raises Unreachable or Refused.
        """
        return await self.request(address, 'GET', _BASE + path, reply_type)

    async def request(
        self, address: str, method: str, path: str, reply_type: type[T]
    ) -> T:
        """Send an idempotent request to one address.

        Raises Unreachable or Refused.
        """
        try:
            reply = await self._transport.send(
                address, method, path, None, CALL_SECONDS
            )
        except (
            transport_module.NoReply,
            transport_module.NotSent,
        ) as error:
            raise failures.Unreachable(
                f'Instance {address} did not answer ({error}); name another '
                'one with --address.'
            ) from error
        return _decode(address, reply, reply_type)

    async def write(
        self,
        path: str,
        value: msgspec.Struct,
        reply_type: type[T],
        subject: str,
    ) -> T:
        """Send a write once, to the first address that accepts a connection.

        Raises Unreachable, Refused or OutcomeUnknown.
        """
        causes = []
        body = msgspec.json.encode(value)
        for address in self.addresses:
            try:
                reply = await self._transport.send(
                    address, 'PUT', _BASE + path, body, CALL_SECONDS
                )
                return _decode(address, reply, reply_type)
            except transport_module.NotSent as error:
                causes.append(f'Instance {address}: {error}')
            except transport_module.NoReply as error:
                # The instance may still be writing the change, which would
                # conflict with itself if it were sent to the next address.
                raise failures.OutcomeUnknown(
                    f'Instance {address} did not answer ({error}). {subject} '
                    'may or may not have been applied.',
                    address,
                ) from error
        raise failures.Unreachable(
            '\n'.join([*causes, f'{subject} was not sent; try again.'])
        )


def connect(addresses: Sequence[str]) -> Session:
    """Return a session over HTTP.

    The reactor and the HTTP client are imported here because the import is
    slow and some commands contact no instance.
    """
    from yuccarill.cli import http_transport

    return Session(
        addresses, http_transport.HttpTransport(), http_transport.run
    )


def _decode(address: str, reply: Reply, reply_type: type[T]) -> T:
    try:
        if reply.status == _OK:
            return msgspec.json.decode(reply.body, type=reply_type)
        refusal = msgspec.json.decode(reply.body, type=operators.ErrorReply)
    except msgspec.MsgspecError as error:
        raise failures.Unreachable(
            f'The server at {address} is not an instance of this version '
            f'({error}); check --address.'
        ) from error
    raise failures.Refused(refusal.code, refusal.name, refusal.message)
