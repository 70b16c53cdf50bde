"""Limit the time that a client may take to send a body."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import Instant

# Minimum bytes received in each progress interval.
PROGRESS_BYTES = 512
PROGRESS_SECONDS = 8.0
# Maximum seconds for the whole body.
BODY_SECONDS = 60.0


class BodyDeadline(msgspec.Struct, kw_only=True):
    """Track the deadlines for the progress and the end of a body."""

    ends_at: Instant
    goes_on_by: Instant
    # Total of received bytes at which the progress deadline is extended.
    wanted: int = PROGRESS_BYTES

    def receive(self, received: int, now: Instant) -> None:
        """Record the total number of received bytes."""
        if received >= self.wanted:
            self.wanted = received + PROGRESS_BYTES
            self.goes_on_by = Instant(now + PROGRESS_SECONDS)

    @property
    def due_at(self) -> Instant:
        """Return when the body times out."""
        return min(self.ends_at, self.goes_on_by)


def start_deadline(now: Instant) -> BodyDeadline:
    """Return the deadline of a body whose header was just received."""
    return BodyDeadline(
        ends_at=Instant(now + BODY_SECONDS),
        goes_on_by=Instant(now + PROGRESS_SECONDS),
    )
