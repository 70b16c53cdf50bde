"""Parse a stream of server-sent events."""

from __future__ import annotations

import msgspec


class RawEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one event with its fields as they came."""

    # Fields in order, without the newline.
    fields: tuple[tuple[str, str], ...]

    @property
    def raw(self) -> bytes:
        """Return the event as it goes over the wire."""
        lines = ''.join(f'{name}: {value}\n' for name, value in self.fields)
        return f'{lines}\n'.encode()

    def field(self, name: str) -> str | None:
        """Return a field's last value."""
        found = None
        for known, value in self.fields:
            if known == name:
                found = value
        return found

    @property
    def data(self) -> str:
        values = [value for name, value in self.fields if name == 'data']
        return '\n'.join(values)


class EventParser:
    """Cut a byte stream into whole events."""

    def __init__(self) -> None:
        self._rest = b''
        self._fields: list[tuple[str, str]] = []

    @property
    def is_between_events(self) -> bool:
        """Tell whether no part of an event is waiting for its end."""
        return not self._rest and not self._fields

    def receive(self, data: bytes) -> list[RawEvent]:
        """Return the events that a part of the stream completes.

        Raises UnicodeDecodeError for bytes that are no text.
        """
        *lines, self._rest = (self._rest + data).split(b'\n')
        found = []
        for line in lines:
            text = line.removesuffix(b'\r').decode('utf-8')
            if text:
                self._take(text)
            elif self._fields:
                found.append(RawEvent(fields=tuple(self._fields)))
                self._fields = []
        return found

    def _take(self, line: str) -> None:
        # A line that begins with a colon is a comment.
        name, _, value = line.partition(':')
        if name:
            self._fields.append((name, value.removeprefix(' ')))
