"""Send idempotent requests, with retries and hedges."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.requests import attempts
from yuccarill.daemon.gateway.requests import hedged_request
from yuccarill.daemon.gateway.requests import selector

if TYPE_CHECKING:
    from yuccarill.core.gateway.attempts import AttemptPlan
    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.quarantine.watched_calls import WatchedCalls
    from yuccarill.daemon.gateway.requests.pools import Pools
    from yuccarill.platform.calls import TargetCall


class Sender:
    """Send idempotent requests to a service's targets."""

    def __init__(
        self,
        pools: Pools,
        calls: WatchedCalls,
        guard: ContentGuard,
        clock: Any,
        capacity: port.CapacityPort = port.NO_CAPACITY,
    ) -> None:
        self.capacity = capacity
        self._attempts = attempts.Attempts(
            pools, calls, guard, clock, capacity
        )

    async def send(
        self,
        service: ServiceName,
        call: TargetCall,
        plan: AttemptPlan,
        record: hedged_request.SendRecord,
        permit: port.SendPermit = port.UNLIMITED,
        is_trial: bool = False,
    ) -> TargetAnswer:
        """Return the first success, else a target's signed error response.

        A trial may send a quarantined content. Raises NotRun if certainly no
        attempt ran, else OutcomeUnknown or DeadlinePassed.
        """
        running = hedged_request.Exchange(
            self._attempts, service, call, plan, record, permit, is_trial
        )
        try:
            return await running.run()
        finally:
            running.cancel()

    def select_targets(
        self,
        service: ServiceName,
        call: TargetCall,
        limit: int,
        permit: port.SendPermit = port.UNLIMITED,
    ) -> selector.TargetSelector:
        """Return a target selector for one request."""
        return selector.TargetSelector(
            self._attempts, service, call.content, limit, permit
        )
