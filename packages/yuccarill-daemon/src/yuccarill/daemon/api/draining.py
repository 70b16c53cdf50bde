"""Track HTTP requests in flight and drain connections at shutdown."""

from __future__ import annotations

from typing import Any

from twisted.web import server

from yuccarill.core import errors

MIN_SWEEP_CHANNELS = 64


class DrainingSite(server.Site):
    """Serve HTTP and count the requests in flight."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.in_flight = 0
        self.is_leaving = False
        self.is_refusing = False
        self._channels: set[Any] = set()
        # Set size from which closed channels are removed.
        self._sweep_threshold = MIN_SWEEP_CHANNELS

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        self._channels = {c for c in self._channels if _is_open(c)}
        return len(self._channels)

    def begin(self, request: Any) -> None:
        """Count a request as in flight."""
        self.in_flight += 1
        self._channels.add(request.channel)
        if len(self._channels) >= self._sweep_threshold:
            self._sweep_threshold = (
                2 * self.open_connections + MIN_SWEEP_CHANNELS
            )
        if self.is_leaving:
            # A persistent connection could deliver its next request just as
            # the process exits.
            request.channel.persistent = False
            request.setHeader('Connection', 'close')

    def end(self) -> None:
        """Count a request as finished."""
        self.in_flight -= 1

    def check(self, request: Any) -> None:
        """Raise if this instance accepts no more requests.

        Raises NotRun, or OutcomeUnknown if an earlier attempt may have run.
        """
        if not self.is_refusing:
            return
        if request.getHeader('Yuccarill-Ticket'):
            raise errors.OutcomeUnknown(
                'The instance that issued the ticket is shutting down; an '
                'earlier attempt may have run.'
            )
        raise errors.NotRun(
            'This instance is shutting down; use another one.', retry_after=1.0
        )

    def close(self) -> None:
        """Close all connections after their buffered data is sent."""
        for channel in self._channels:
            if _is_open(channel):
                channel.loseConnection()


def _is_open(channel: Any) -> bool:
    return bool(getattr(channel.transport, 'connected', False))
