"""Stop an instance without interrupting requests in flight."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Instant
from yuccarill.core.ids import WallTime
from yuccarill.core.membership import shutdown
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.daemon.api.draining import DrainingSite
    from yuccarill.daemon.controllers.calls import CallController
    from yuccarill.daemon.controllers.leases import LeaseController
    from yuccarill.daemon.controllers.membership import MembershipController
    from yuccarill.daemon.peers.peers import Peers
    from yuccarill.daemon.rollout_parts import RolloutParts

log = logs.for_part('instance')

CHECK_SECONDS = 0.05
CLOSE_SECONDS = 2.0


class ShutdownController:
    """Execute the steps of a graceful shutdown."""

    def __init__(
        self,
        blackboard: Blackboard,
        policy: shutdown.StopPolicy,
        membership: MembershipController,
        leases: LeaseController,
        calls: CallController,
        rollouts: RolloutParts,
        peers: Peers,
        site: DrainingSite,
        clock: Any,
    ) -> None:
        self._blackboard = blackboard
        self._policy = policy
        self._membership = membership
        self._leases = leases
        self._calls = calls
        self._rollouts = rollouts
        self._peers = peers
        self._site = site
        self._clock = clock
        self._shutdown: shutdown.Shutdown | None = None
        self._is_handed_over = False
        self.ports: list[Any] = []

    async def stop(self) -> shutdown.StopOutcome:
        """Stop gracefully, or shorten a shutdown in progress."""
        if self._shutdown is not None:
            log.warning('Second stop signal received; shutdown shortened.')
            self._shutdown.shorten(self._now())
            self._site.is_refusing = True
            self._calls.refuse_waiting()
            return self._shutdown.outcome
        state = shutdown.Shutdown(self._policy, self._now())
        self._shutdown = state
        while state.step is not shutdown.StopStep.ENDED:
            previous = state.step
            if state.advance(self._now(), self._in_flight()) is not previous:
                self._start_step(state)
            await self._pause()
        await self._close()
        log.info('Instance stopped.', outcome=state.outcome.value)
        return state.outcome

    def _start_step(self, state: shutdown.Shutdown) -> None:
        log.info('Shutdown step started.', step=state.step.value)
        match state.step:
            case shutdown.StopStep.LEAVING:
                left = state.serves_until - self._now()
                self._blackboard.serves_until = WallTime(time.time() + left)
                self._blackboard.is_leaving = True
                self._site.is_leaving = True
                self._membership.leave()
            case shutdown.StopStep.HANDING_OVER:
                released = defer.ensureDeferred(self._leases.release_all())
                released.addErrback(self._log_release_error)
                released.addBoth(self._set_handed_over)

    def _in_flight(self) -> shutdown.InFlight:
        return shutdown.InFlight(
            requests=self._site.in_flight + self._peers.requests_in_flight,
            samples=self._rollouts.active_samples,
            steps=len(self._rollouts.active_duties()),
            shards=0 if self._is_handed_over else 1,
        )

    async def _close(self) -> None:
        for port in self.ports:
            await defer.maybeDeferred(port.stopListening)
        self._site.close()
        until = self._now() + CLOSE_SECONDS
        while self._site.open_connections and self._now() < until:
            await self._pause()
        await self._peers.close()

    def _set_handed_over(self, _: object) -> None:
        self._is_handed_over = True

    def _log_release_error(self, failure: Any) -> None:
        # The shards' next holders wait until the lease session expires.
        log.error('Shard transfer failed.', cause=failure.getErrorMessage())

    def _pause(self) -> defer.Deferred[None]:
        return task.deferLater(self._clock, CHECK_SECONDS, lambda: None)

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
