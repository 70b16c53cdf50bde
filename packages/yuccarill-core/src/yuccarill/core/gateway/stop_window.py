"""Decide which requests a stopping instance still takes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.gateway.routes import RouteKind
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.gateway.routes import Route

# Seconds from the start of a stop in which every request is taken: clients do
# not know of the stop yet, and most requests are short.
TAKE_ALL_SECONDS = 2.5


class StopWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the times of a stop that has begun."""

    take_all_until: Instant
    # Requests that are sure to end by then are taken.
    answers_until: Instant

    def can_take(
        self, route: Route, request: ClientRequest, now: Instant
    ) -> bool:
        """Return whether a request is sure to end in time.

        Others are refused at once, so that clients use another instance.
        """
        if now < self.take_all_until or route.kind is RouteKind.BATCH:
            return True
        return self._latest_end(route, request) <= self.answers_until

    def _latest_end(self, route: Route, request: ClientRequest) -> float:
        ends = [float('inf')]
        if request.deadline is not None:
            ends.append(request.deadline)
        if route.kind is not RouteKind.STREAM:
            # Of a stream, the timeout bounds only the time to its first event.
            ends.append(request.arrived_at + route.timeout)
        return min(ends)


def stop_window(now: Instant, answers_until: Instant) -> StopWindow:
    """Return the times of a stop that begins now."""
    return StopWindow(
        take_all_until=Instant(now + TAKE_ALL_SECONDS),
        answers_until=answers_until,
    )
