"""Count the HTTP requests in flight and close connections at the end."""

from __future__ import annotations

from typing import Any

from twisted.web import server

from yuccarill.core import errors

SWEEP_LEAST = 64


class DrainingSite(server.Site):
    """Serve HTTP and tell when nothing is in flight."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.in_flight = 0
        self.is_leaving = False
        self.is_refusing = False
        self._channels: set[Any] = set()
        # Closed connections are dropped from the list now and then.
        self._sweep_at = SWEEP_LEAST

    @property
    def open_connections(self) -> int:
        """Count the connections that are not closed yet."""
        self._channels = {c for c in self._channels if _is_open(c)}
        return len(self._channels)

    def begin(self, request: Any) -> None:
        """Count a request from its head to its end."""
        self.in_flight += 1
        self._channels.add(request.channel)
        if len(self._channels) >= self._sweep_at:
            self._sweep_at = 2 * self.open_connections + SWEEP_LEAST
        if self.is_leaving:
            # A kept connection might bring its next request in the moment
            # in which this process ends.
            request.channel.persistent = False
            request.setHeader('Connection', 'close')

    def end(self) -> None:
        """Count a request as answered or lost."""
        self.in_flight -= 1

    def check(self, request: Any) -> None:
        """Refuse a request that has not begun to run.

        Raises NotRun, or OutcomeUnknown where an earlier try may have run.
        """
        if not self.is_refusing:
            return
        if request.getHeader('Yuccarill-Ticket'):
            raise errors.OutcomeUnknown(
                'The instance that answers for the ticket ends; an earlier '
                'try may have run.'
            )
        raise errors.NotRun(
            'This instance ends; ask another one.', retry_after=1.0
        )

    def close(self) -> None:
        """Close all connections once what was written has been sent."""
        for channel in self._channels:
            if _is_open(channel):
                channel.loseConnection()


def _is_open(channel: Any) -> bool:
    return bool(getattr(channel.transport, 'connected', False))
