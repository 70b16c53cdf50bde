"""Request scores of finished texts."""

from __future__ import annotations

import traceback
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.gateway import attempts
from yuccarill.core.gateway import trials
from yuccarill.core.ids import Instant
from yuccarill.core.jobs import item_routes
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.capacity import requests as capacity_requests
from yuccarill.daemon.gateway.quarantine import content_trials
from yuccarill.daemon.gateway.requests import hedged_request
from yuccarill.daemon import logs
from yuccarill.platform import calls as calls_module

if TYPE_CHECKING:
    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.gateway.routes import Route
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import ScoreRequest
    from yuccarill.core.jobs.job_queue import ItemRun
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.requests.sender import Sender
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('scoring')

# Interval of retries of a failed score request.
RETRY_SECONDS = 0.2
# Interval of retries of a score request whose content is quarantined. Longer,
# because each retry writes a log line.
QUARANTINE_RETRY_SECONDS = 2.0
# Interval of retries after an unexpected error, which bounds the log.
ERROR_RETRY_SECONDS = 1.0
# Fraction of a scoring target's slots for scores of batch jobs; the rest stays
# free for interactive requests.
SLOTS_FRACTION = 0.7


class Scorer:
    """Call scoring services, a bounded number of calls at a time."""

    def __init__(
        self,
        state: GatewayState,
        sender: Sender,
        guard: ContentGuard,
        clock: Any,
    ) -> None:
        self._state = state
        self._sender = sender
        self._trials = content_trials.ContentTrials(guard)
        self._clock = clock
        self._running = 0
        self._waiting: list[defer.Deferred[None]] = []

    async def score(self, run: ItemRun) -> str | None:
        """Return a text's score, or None if scoring failed too often."""
        request = run.item.score_request
        if request is None:
            return ''
        while True:
            pause = RETRY_SECONDS
            route = self._route(run.job, request)
            if route is None:
                log.warning('No route for a score request.', item=run.item.id)
            else:
                try:
                    answer = await self._send_in_slot(run, request, route)
                except errors.RequestQuarantined as error:
                    log.info(
                        'Score request quarantined.',
                        item=run.item.id,
                        cause=str(error),
                    )
                    answer, pause = None, QUARANTINE_RETRY_SECONDS
                except defer.CancelledError:
                    raise
                except Exception:
                    # The item is still owed; it would wait forever.
                    log.error(
                        'Score request failed unexpectedly.',
                        item=run.item.id,
                        cause=traceback.format_exc(),
                    )
                    answer, pause = None, ERROR_RETRY_SECONDS
                if answer is not None and answer.is_success:
                    return answer.signature
                if run.fail_scores(0, route.max_attempts):
                    return None
            await task.deferLater(self._clock, pause)

    def _route(self, job: Job, request: ScoreRequest) -> Route | None:
        table = item_routes.table_for(self._state.route_table, job)
        path = request.path.partition('?')[0]
        return table.find(request.host, path) if table else None

    async def _send_in_slot(
        self, run: ItemRun, request: ScoreRequest, route: Route
    ) -> TargetAnswer | None:
        await self._acquire_slot(route)
        try:
            return await self._send(run, request, route)
        finally:
            self._release_slot()

    async def _send(
        self, run: ItemRun, request: ScoreRequest, route: Route
    ) -> TargetAnswer | None:
        service = route.choose_service(self._state.generator)
        if service is None:
            return None
        now = self._clock.seconds()
        deadline = Instant(now + route.timeout)
        record = hedged_request.SendRecord()
        plan = attempts.AttemptPlan(
            deadline=deadline,
            max_attempts=route.max_attempts,
            hedge_delay=max(0.5, attempts.hedge_delay(route.objective)),
        )
        call = calls_module.TargetCall(
            id=request.id,
            method='POST',
            target=request.path,
            headers=(('Host', request.host),),
            body=request.body,
            deadline=deadline,
        )
        try:
            entry = await self._sender.capacity.acquire(
                service,
                capacity_requests.from_score(
                    route, request.id, Instant(now), deadline
                ),
            )
            answer = await self._send_call(service, call, plan, record, entry)
        except errors.RequestQuarantined:
            raise
        except errors.Overloaded as error:
            # Keeps the slot during the pause: the next waiting requests would
            # be refused as well.
            await task.deferLater(self._clock, error.retry_after or 0.0)
            answer, record.last_cause = None, error.message
        except errors.YuccarillError as error:
            answer = None
            record.last_cause = error.message
        run.fail_scores(record.failed_runs, route.max_attempts)
        if answer is None or not answer.is_success:
            log.info(
                'Score request failed.',
                request=request.id,
                item=run.item.id,
                attempts=record.attempts,
                failed=run.score_failures,
                allowed=route.max_attempts,
                cause=record.last_cause,
            )
        return answer

    async def _send_call(
        self,
        service: ServiceName,
        call: calls_module.TargetCall,
        plan: attempts.AttemptPlan,
        record: hedged_request.SendRecord,
        permit: port.SendPermit,
    ) -> TargetAnswer:
        """Send a score request, alone and seldom if it is quarantined."""
        self._trials.forget_released()
        if not self._trials.is_quarantined(call.content):
            return await self._sender.send(service, call, plan, record, permit)
        targets = len(self._state.targets.ready(service))
        if not self._trials.may_start(call.content, service, targets):
            return await self._sender.send(service, call, plan, record, permit)
        plan.max_attempts = 1
        self._trials.start(call.content, service)
        end = trials.TrialEnd.BROKEN
        try:
            answer = await self._sender.send(
                service, call, plan, record, permit, is_trial=True
            )
            if answer.is_success:
                end = trials.TrialEnd.COMPLETED
            return answer
        except errors.NotRun:
            end = trials.TrialEnd.NOT_RUN
            raise
        finally:
            self._trials.finish(call.content, service, end)

    async def _acquire_slot(self, route: Route) -> None:
        while self._running >= self._slot_limit(route):
            waiting: defer.Deferred[None] = defer.Deferred()
            self._waiting.append(waiting)
            await waiting
        self._running += 1

    def _release_slot(self) -> None:
        self._running -= 1
        while self._waiting:
            waiting = self._waiting.pop(0)
            if not waiting.called:
                waiting.callback(None)
                return

    def _slot_limit(self, route: Route) -> int:
        slots = sum(
            target.slots
            for service in route.services
            for target in self._state.targets.ready(service).values()
        )
        # The holders of a service's partitions divide the slots.
        divisions = self._state.divisions_by_service.values()
        holders = max((each.parts for each in divisions), default=1)
        return max(1, int(SLOTS_FRACTION * slots / holders))
