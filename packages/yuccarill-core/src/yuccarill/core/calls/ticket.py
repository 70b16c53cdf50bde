"""Tickets: which instance alone may start a caller's request."""

from __future__ import annotations

import msgspec

from yuccarill.core import errors
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId

_PARTS = 3


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """Bind a caller's non-repeatable requests to one incarnation."""

    home: InstanceId
    incarnation: Incarnation
    serial: int

    def __str__(self) -> str:
        return f'{self.home}/{self.incarnation}/{self.serial}'


def parse(text: str) -> Ticket:
    """Read a ticket as callers send it.

    Raises TicketError.
    """
    parts = text.split('/')
    if len(parts) != _PARTS or not all(parts) or not parts[2].isdecimal():
        raise errors.TicketError(
            'The ticket is malformed; ask for addresses to get another.'
        )
    return Ticket(
        home=InstanceId(parts[0]),
        incarnation=Incarnation(parts[1]),
        serial=int(parts[2]),
    )
