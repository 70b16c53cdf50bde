"""Change the faults of a running stand-in over HTTP."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

Faults = TypeVar('Faults', bound=msgspec.Struct)


class FaultControl(Generic[Faults]):
    """Faults that are in force."""

    def __init__(self, faults: Faults) -> None:
        self.current = faults

    def handle_request(self, request: IRequest) -> bytes:
        """Reply with the faults; a PUT changes the named ones first."""
        if request.method == b'PUT':
            changes = server.read_json(request)
            try:
                self.update(changes)
            except msgspec.ValidationError as error:
                return server.reply_json(request, {'error': str(error)}, 400)
        return server.reply_json(request, msgspec.to_builtins(self.current))

    def update(self, changes: dict[str, object]) -> None:
        """Change the named faults.

        Raises msgspec.ValidationError for an unknown name or a wrong type.
        """
        fields = msgspec.to_builtins(self.current)
        # Changed in place: waiting requests poll this object.
        changed = msgspec.convert(fields | changes, type(self.current))
        for name in fields:
            setattr(self.current, name, getattr(changed, name))

    def consume(self, name: str) -> bool:
        """Return whether a counted fault is due, and count it down."""
        left = getattr(self.current, name)
        if left > 0:
            setattr(self.current, name, left - 1)
        return bool(left > 0)
