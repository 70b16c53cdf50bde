"""Order faults of a stand-in while it runs."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

Faults = TypeVar('Faults', bound=msgspec.Struct)


class FaultSwitch(Generic[Faults]):
    """Hold the faults now in force."""

    def __init__(self, faults: Faults) -> None:
        self.now = faults

    def answer(self, request: IRequest) -> bytes:
        """Show the faults, and on PUT change the named ones first."""
        if request.method == b'PUT':
            asked = server.read_json(request)
            try:
                self.order(asked)
            except msgspec.ValidationError as error:
                return server.reply_json(request, {'error': str(error)}, 400)
        return server.reply_json(request, msgspec.to_builtins(self.now))

    def order(self, asked: dict[str, object]) -> None:
        """Change the named faults.

        Raises msgspec.ValidationError for an unknown name or a wrong type.
        """
        standing = msgspec.to_builtins(self.now)
        # Changed in place: waiting requests watch this very object.
        changed = msgspec.convert(standing | asked, type(self.now))
        for name in standing:
            setattr(self.now, name, getattr(changed, name))

    def take(self, name: str) -> bool:
        """Tell whether a counted fault strikes now, and count it down."""
        left = getattr(self.now, name)
        if left > 0:
            setattr(self.now, name, left - 1)
        return bool(left > 0)
