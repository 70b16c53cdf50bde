"""Parse a stream of server-sent events."""

from __future__ import annotations

import msgspec

# Bytes of one event; a server can send bytes that never complete one.
MAX_EVENT_BYTES = 1 << 20


class RawEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A server-sent event with its fields as received."""

    # Name and value, in the order received.
    fields: tuple[tuple[str, str], ...]

    @property
    def raw(self) -> bytes:
        """Return the event in wire format."""
        lines = ''.join(f'{name}: {value}\n' for name, value in self.fields)
        return f'{lines}\n'.encode()

    def field(self, name: str) -> str | None:
        """Return the last value of a field, or None if it is absent."""
        last_value = None
        for field_name, value in self.fields:
            if field_name == name:
                last_value = value
        return last_value

    @property
    def data(self) -> str:
        values = [value for name, value in self.fields if name == 'data']
        return '\n'.join(values)


class EventTooLong(Exception):
    """Raised if an event exceeds its maximum length."""


class EventParser:
    """Split a byte stream into complete events."""

    def __init__(self) -> None:
        self._partial_line = b''
        # Bytes since the last complete event, comments included.
        self._event_bytes = 0
        self._fields: list[tuple[str, str]] = []

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self._partial_line and not self._fields

    def receive(self, data: bytes) -> list[RawEvent]:
        """Return the events that `data` completes.

        Raises UnicodeDecodeError for bytes that are not UTF-8, EventTooLong
        for too many bytes without a complete event.
        """
        self._event_bytes += len(data)
        *lines, self._partial_line = (self._partial_line + data).split(b'\n')
        found = []
        for line in lines:
            text = line.removesuffix(b'\r').decode('utf-8')
            if text:
                self._add_field(text)
            elif self._fields:
                found.append(RawEvent(fields=tuple(self._fields)))
                self._fields = []
        if found:
            self._event_bytes = len(self._partial_line)
        elif self._event_bytes > MAX_EVENT_BYTES:
            raise EventTooLong(
                f'{self._event_bytes} bytes without a complete event'
            )
        return found

    def _add_field(self, line: str) -> None:
        # A line that starts with a colon is a comment.
        name, _, value = line.partition(':')
        if name:
            self._fields.append((name, value.removeprefix(' ')))
