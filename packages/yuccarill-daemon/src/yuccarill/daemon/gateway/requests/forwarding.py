"""Forward client requests to targets by their routes."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core import errors
from yuccarill.core.gateway import attempts
from yuccarill.core.gateway import requests
from yuccarill.core.gateway.routes import Route
from yuccarill.core.gateway.routes import RouteKind
from yuccarill.core.ids import Instant
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.capacity import requests as capacity_requests
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway.requests import hedged_request
from yuccarill.daemon import logs
from yuccarill.platform import calls as calls_module

if TYPE_CHECKING:
    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.gateway.accounts.admission import AccountAdmission
    from yuccarill.daemon.gateway.jobs.intake import Intake
    from yuccarill.daemon.gateway.quarantine.watched_calls import WatchedCalls
    from yuccarill.daemon.gateway.requests.sender import Sender
    from yuccarill.daemon.gateway.requests.streams import StreamForwarder
    from yuccarill.daemon.gateway.requests.usage_sink import UsageSink
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.ports import Answerer

log = logs.for_part('request')

# Seconds until a retry; a starting instance reads its configuration sooner.
NO_CONFIGURATION_RETRY = 0.3
# Seconds until a retry, which reaches another instance.
STOPPING_RETRY = 0.05


class Forwarder:
    """Serve each request according to the kind of its route."""

    def __init__(
        self,
        state: GatewayState,
        sender: Sender,
        calls: WatchedCalls,
        streams: StreamForwarder,
        intake: Intake,
        admission: AccountAdmission,
        usage: UsageSink,
        clock: Any,
        capacity: port.CapacityPort = port.NO_CAPACITY,
    ) -> None:
        self._state = state
        self._sender = sender
        self._calls = calls
        self._streams = streams
        self._intake = intake
        self._admission = admission
        self._usage = usage
        self._clock = clock
        self._capacity = capacity

    async def check_key(self, request: ClientRequest) -> None:
        """Check a request's credentials from its head, before its body.

        Raises KeyMissing, KeyUnknown, or NotRun if the key can't be checked.
        """
        table = self._state.route_table
        if table is None:
            return
        route = table.find(request.host, request.path)
        if route is not None:
            await self._admission.admit(route, request)

    async def forward(
        self, request: ClientRequest, answerer: Answerer
    ) -> None:
        """Serve one request.

        Raises YuccarillError if the request is refused or fails.
        """
        self._check_can_take(request)
        request = await self._admission.admit(self._match(request), request)
        answerer.set_account(request.account)
        # The route table may have changed during the key lookup.
        route = self._match(request)
        outcome = 'cancelled'
        try:
            outcome = await self._serve(route, request, answerer)
        except errors.YuccarillError as error:
            outcome = f'code {int(error.code)}'
            raise
        finally:
            seconds = self._clock.seconds() - request.arrived_at
            meters.REQUESTS.labels(route.name, outcome).inc()
            meters.REQUEST_SECONDS.labels(route.name).observe(seconds)
            log.info(
                'Answered.',
                request=request.id,
                account=request.account,
                route=route.name,
                outcome=outcome,
                ms=round(seconds * 1000.0),
            )

    def _check_can_take(self, request: ClientRequest) -> None:
        window = self._state.stop_window
        route = self._match(request)
        now = Instant(self._clock.seconds())
        if window is not None and not window.can_take(route, request, now):
            raise errors.NotRun(
                'The request was not run: this instance stops before it would '
                'end.',
                STOPPING_RETRY,
            )

    def _match(self, request: ClientRequest) -> Route:
        table = self._state.route_table
        if table is None:
            raise errors.NoConfiguration(
                'No configuration is known here yet.', NO_CONFIGURATION_RETRY
            )
        route = table.find(request.host, request.path)
        if route is None:
            raise errors.UnknownService(
                f'Configuration {table.version} has no route for the path.'
            )
        return route

    async def _serve(
        self, route: Route, request: ClientRequest, answerer: Answerer
    ) -> str:
        match route.kind:
            case RouteKind.BATCH:
                answer = await self._intake.submit(route, request)
            case RouteKind.IDEMPOTENT:
                answer = await self._send_idempotent(route, request)
            case RouteKind.AT_MOST_ONCE:
                answer = await self._send_at_most_once(route, request)
            case RouteKind.STREAM:
                return await self._streams.serve(route, request, answerer)
        answerer.answer(answer)
        return f'status {answer.status}'

    async def _send_idempotent(
        self, route: Route, request: ClientRequest
    ) -> TargetAnswer:
        deadline = requests.time_limit(route, request)
        plan = attempts.AttemptPlan(
            deadline=deadline,
            max_attempts=route.max_attempts,
            hedge_delay=attempts.hedge_delay(route.objective),
        )
        record = hedged_request.SendRecord()
        service = self._choose_service(route)
        permit = await self._capacity.acquire(
            service, capacity_requests.from_client(route, request, deadline)
        )
        try:
            return await self._sender.send(
                service,
                to_target_call(request, deadline),
                plan,
                record,
                permit,
            )
        finally:
            self._usage.record_start(request.account, record.began_at)

    async def _send_at_most_once(
        self, route: Route, request: ClientRequest
    ) -> TargetAnswer:
        deadline = requests.time_limit(route, request)
        service = self._choose_service(route)
        call = to_target_call(request, deadline)
        permit = await self._capacity.acquire(
            service, capacity_requests.from_client(route, request, deadline)
        )
        selector = self._sender.select_targets(
            service, call, route.max_attempts, permit
        )
        cause = 'no target is ready'
        while (target := selector.next()) is not None:
            sent_at = Instant(self._clock.seconds())
            if sent_at >= deadline:
                break
            try:
                with port.record_attempt(
                    self._capacity, service, self._clock
                ) as attempt:
                    answer = await self._calls.send(
                        target, call, deadline, is_fresh=True
                    )
                    attempt.answer = answer
            except calls_module.CallFailed as error:
                if error.end is calls_module.CallEnd.BROKEN:
                    self._usage.record_start(request.account, sent_at)
                    # The request may have run; a retry could run it twice.
                    raise errors.OutcomeUnknown(
                        f'The target failed during the request: {error}.'
                    ) from error
                cause = str(error)
                selector.record_unreached(target)
                continue
            if not answer.not_run:
                self._usage.record_start(request.account, sent_at)
                return answer
            cause = f'refused with status {answer.status}'
        raise permit.refusal(cause)

    def _choose_service(self, route: Route) -> ServiceName:
        service = route.choose_service(self._state.generator)
        if service is None:
            raise errors.NoTarget('The route has no service.', 1.0)
        return service


def to_target_call(
    request: ClientRequest, deadline: Instant | None
) -> calls_module.TargetCall:
    """Return the target call for a client request."""
    return calls_module.TargetCall(
        id=request.id,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        deadline=deadline,
        account=request.account,
    )
