"""Tickets: which instance alone may start a caller's request."""

from __future__ import annotations

import msgspec

from yuccarill.core import errors
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import WallTime

_PARTS = 4
_MILLISECONDS = 1000


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """Bind a caller's non-repeatable requests to one incarnation."""

    home: InstanceId
    incarnation: Incarnation
    serial: int
    # On the clock of the home, which alone judges it.
    expires_at: WallTime

    def __str__(self) -> str:
        expiry = round(self.expires_at * _MILLISECONDS)
        return f'{self.home}/{self.incarnation}/{self.serial}/{expiry}'


def parse(text: str) -> Ticket:
    """Read a ticket as callers send it.

    Raises TicketError.
    """
    parts = text.split('/')
    if len(parts) != _PARTS or not all(parts) or not _are_numbers(parts[2:]):
        raise errors.TicketError(
            'The ticket is malformed; ask for addresses to get another.'
        )
    return Ticket(
        home=InstanceId(parts[0]),
        incarnation=Incarnation(parts[1]),
        serial=int(parts[2]),
        expires_at=WallTime(int(parts[3]) / _MILLISECONDS),
    )


def _are_numbers(parts: list[str]) -> bool:
    return all(part.isascii() and part.isdecimal() for part in parts)
