"""Define the capacity interface used to send requests."""

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

# Seconds until a retry if the capacity is unknown: long enough for a target's
# queue to move, short compared with request deadlines.
RETRY_AFTER = 0.2


class SendPermit(Protocol):
    """Decide on the retries and hedges of one admitted request."""

    def may_retry(self) -> bool:
        """Return whether a retry is allowed, and charge its budget."""
        ...

    def may_hedge(self) -> bool:
        """Return whether a hedge is allowed, and charge its budget."""
        ...

    def refusal(self, cause: str) -> errors.NotRun:
        """Return the error for a request that was not run."""
        ...


class CapacityPort(Protocol):
    """Admit requests and record the results of their attempts."""

    async def acquire(
        self, service: ServiceName, request: CapacityRequest
    ) -> SendPermit:
        """Wait until a request may be sent; raise Overloaded if refused."""
        ...

    def record_start(self, service: ServiceName) -> None: ...

    def record_answer(self, service: ServiceName, seconds: float) -> None: ...

    def record_refusal(self, service: ServiceName) -> None: ...

    def record_abandoned(self, service: ServiceName) -> None: ...


class UnlimitedPermit:
    """Allow every retry and hedge."""

    def may_retry(self) -> bool:
        return True

    def may_hedge(self) -> bool:
        return True

    def refusal(self, cause: str) -> errors.NotRun:
        return errors.NotRun(f'The request was not run: {cause}.', RETRY_AFTER)


UNLIMITED = UnlimitedPermit()


class NoCapacity:
    """Admit every request, for deployments that share no capacity."""

    async def acquire(
        self, service: ServiceName, request: CapacityRequest
    ) -> SendPermit:
        return UNLIMITED

    def record_start(self, service: ServiceName) -> None:
        pass

    def record_answer(self, service: ServiceName, seconds: float) -> None:
        pass

    def record_refusal(self, service: ServiceName) -> None:
        pass

    def record_abandoned(self, service: ServiceName) -> None:
        pass


NO_CAPACITY = NoCapacity()


class AttemptOutcome:
    """Hold the answer to one attempt, none if the attempt failed."""

    answer: TargetAnswer | None = None


@contextlib.contextmanager
def record_attempt(
    capacity: CapacityPort, service: ServiceName, clock: Any
) -> Iterator[AttemptOutcome]:
    """Record the start and the result of an attempt."""
    capacity.record_start(service)
    started_at = Instant(clock.seconds())
    outcome = AttemptOutcome()
    try:
        yield outcome
    finally:
        answer = outcome.answer
        if answer is None or answer.is_from_other_process:
            capacity.record_abandoned(service)
        elif answer.not_run:
            capacity.record_refusal(service)
        else:
            capacity.record_answer(service, clock.seconds() - started_at)
