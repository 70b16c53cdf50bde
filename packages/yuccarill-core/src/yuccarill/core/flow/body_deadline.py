"""Bound the time that a client may take to send a body."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import Instant

# Bytes that have to come in each span of time.
PROGRESS_BYTES = 512
PROGRESS_SECONDS = 8.0
# Seconds for the whole body.
BODY_SECONDS = 60.0


class BodyDeadline(msgspec.Struct, kw_only=True):
    """Hold until when a body has to go on, and to end."""

    ends_at: Instant
    goes_on_by: Instant
    # Bytes at which it counts as going on.
    wanted: int = PROGRESS_BYTES

    def receive(self, received: int, now: Instant) -> None:
        """Note how many bytes have come so far."""
        if received >= self.wanted:
            self.wanted = received + PROGRESS_BYTES
            self.goes_on_by = Instant(now + PROGRESS_SECONDS)

    @property
    def due_at(self) -> Instant:
        """Return when the body is given up."""
        return min(self.ends_at, self.goes_on_by)


def begin(now: Instant) -> BodyDeadline:
    """Return the deadline of a body whose head has come."""
    return BodyDeadline(
        ends_at=Instant(now + BODY_SECONDS),
        goes_on_by=Instant(now + PROGRESS_SECONDS),
    )
