"""Ask the instances whose addresses an operator gave."""

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

Kind = TypeVar('Kind')


class Session:
    """Read from the first instance that answers, write at most once."""

    def __init__(
        self,
        addresses: Sequence[str],
        transport: Transport,
        run: Callable[[Awaitable[Any]], Any],
    ) -> None:
        self.addresses = addresses
        self._transport = transport
        self._run = run

    def run(self, work: Awaitable[Kind]) -> Kind:
        """Do a command's work and return its result."""
        result: Kind = self._run(work)
        return result

    async def read(self, path: str, kind: type[Kind], last: str = '') -> Kind:
        """Read from the first address that answers, one being asked last.

        Raises Unreachable or Refused.
        """
        causes = []
        for address in sorted(self.addresses, key=lambda a: a == last):
            try:
                return await self.read_at(address, path, kind)
            except failures.Unreachable as failure:
                causes.append(failure.message)
        raise failures.Unreachable('\n'.join(causes))

    async def read_at(self, address: str, path: str, kind: type[Kind]) -> Kind:
        """Read from one address.

        Raises Unreachable or Refused.
        """
        return await self.ask(address, 'GET', _BASE + path, kind)

    async def ask(
        self, address: str, method: str, path: str, kind: type[Kind]
    ) -> Kind:
        """Send one address a request that may be repeated.

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
                'with --address.'
            ) from error
        return _decode(address, reply, kind)

    async def write(
        self, path: str, value: msgspec.Struct, kind: type[Kind], what: str
    ) -> Kind:
        """Write once, at the first address that can be reached.

        Raises Unreachable, Refused or OutcomeUnknown.
        """
        causes = []
        body = msgspec.json.encode(value)
        for address in self.addresses:
            try:
                reply = await self._transport.send(
                    address, 'PUT', _BASE + path, body, CALL_SECONDS
                )
                return _decode(address, reply, kind)
            except transport_module.NotSent as error:
                causes.append(f'Instance {address}: {error}')
            except transport_module.NoReply as error:
                # The next address would not know of a change that this one
                # is still writing, and the operator would be told of a
                # conflict with the own change.
                raise failures.OutcomeUnknown(
                    f'Instance {address} did not answer ({error}). {what} '
                    'may or may not stand.',
                    address,
                ) from error
        raise failures.Unreachable(
            '\n'.join([*causes, f'{what} was not sent; try again.'])
        )


def connect(addresses: Sequence[str]) -> Session:
    """Return a session over HTTP.

    The reactor and the HTTP client are imported here, since commands that
    ask no instance would wait half a second for them.
    """
    from yuccarill.cli import http_transport

    return Session(
        addresses, http_transport.HttpTransport(), http_transport.run
    )


def _decode(address: str, reply: Reply, kind: type[Kind]) -> Kind:
    try:
        if reply.status == _OK:
            return msgspec.json.decode(reply.body, type=kind)
        refusal = msgspec.json.decode(reply.body, type=operators.ErrorReply)
    except msgspec.MsgspecError as error:
        raise failures.Unreachable(
            f'What answers at {address} is no instance of this version '
            f'({error}); check --address.'
        ) from error
    raise failures.Refused(refusal.code, refusal.name, refusal.message)
