"""Define tickets, which name the only instance that may start a request."""

from __future__ import annotations

import msgspec

from yuccarill.core import errors
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import WallTime

_PARTS = 4
_MS_PER_SECOND = 1000


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """Bind a caller's non-repeatable requests to one incarnation."""

    home: InstanceId
    incarnation: Incarnation
    serial: int
    # By the clock of the home instance, which alone checks the expiry.
    expires_at: WallTime

    def __str__(self) -> str:
        expiry = round(self.expires_at * _MS_PER_SECOND)
        return f'{self.home}/{self.incarnation}/{self.serial}/{expiry}'


def parse(text: str) -> Ticket:
    """Parse the text form of a ticket.

    Raises TicketError.
    """
    parts = text.split('/')
    if len(parts) != _PARTS or not all(parts) or not _are_numbers(parts[2:]):
        raise errors.TicketError(
            'The ticket is malformed; request addresses to get another.'
        )
    return Ticket(
        home=InstanceId(parts[0]),
        incarnation=Incarnation(parts[1]),
        serial=int(parts[2]),
        expires_at=WallTime(int(parts[3]) / _MS_PER_SECOND),
    )


def _are_numbers(parts: list[str]) -> bool:
    return all(part.isascii() and part.isdecimal() for part in parts)
