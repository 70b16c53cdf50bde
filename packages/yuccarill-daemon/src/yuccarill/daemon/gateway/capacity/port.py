"""What the requests' parts need to know of a service's capacity."""

from __future__ import annotations

import contextlib
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from yuccarill.core import errors
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccarill.core.capacity.gate import CapacityRequest
    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.ids import ServiceName

# Seconds after which a request that targets refused may come back where
# nothing is known of their capacity: long enough for a target's queue to
# move, short against the deadlines of 1.5 s and more.
RETRY_AFTER = 0.2


class Entry(Protocol):
    """Hold the leave to send one request."""

    def may_try_again(self) -> bool:
        """Tell whether a second attempt may be sent, and count it."""
        ...

    def may_hedge(self) -> bool:
        """Tell whether a second target may run it, and count it."""
        ...

    def refusal(self, cause: str) -> errors.NotRun:
        """Return what to tell a caller whose request was not run."""
        ...


class CapacityPort(Protocol):
    """Let requests in, and learn from their attempts."""

    async def enter(
        self, service: ServiceName, request: CapacityRequest
    ) -> Entry:
        """Return once a request may be sent; raises Overloaded."""
        ...

    def started(self, service: ServiceName) -> None: ...

    def finished(self, service: ServiceName, seconds: float) -> None: ...

    def refused(self, service: ServiceName) -> None: ...

    def gave_up(self, service: ServiceName) -> None: ...


class OpenEntry:
    """Let a request be sent as often as its route allows."""

    def may_try_again(self) -> bool:
        return True

    def may_hedge(self) -> bool:
        return True

    def refusal(self, cause: str) -> errors.NotRun:
        return errors.NotRun(f'The request was not run: {cause}.', RETRY_AFTER)


OPEN = OpenEntry()


class NoCapacity:
    """Let every request in, where capacity is not shared."""

    async def enter(
        self, service: ServiceName, request: CapacityRequest
    ) -> Entry:
        return OPEN

    def started(self, service: ServiceName) -> None:
        pass

    def finished(self, service: ServiceName, seconds: float) -> None:
        pass

    def refused(self, service: ServiceName) -> None:
        pass

    def gave_up(self, service: ServiceName) -> None:
        pass


NO_CAPACITY = NoCapacity()


class AttemptNote:
    """Hold what a target answered an attempt, none if it did not."""

    answer: TargetAnswer | None = None


@contextlib.contextmanager
def noted(
    capacity: CapacityPort, service: ServiceName, clock: Any
) -> Iterator[AttemptNote]:
    """Count an attempt while it runs, and learn from its answer."""
    capacity.started(service)
    started_at = Instant(clock.seconds())
    note = AttemptNote()
    try:
        yield note
    finally:
        answer = note.answer
        if answer is None or answer.is_from_other_process:
            capacity.gave_up(service)
        elif answer.not_run:
            capacity.refused(service)
        else:
            capacity.finished(service, clock.seconds() - started_at)
