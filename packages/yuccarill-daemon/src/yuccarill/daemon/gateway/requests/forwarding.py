"""Pass clients' requests on to targets."""

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
from yuccarill.daemon.gateway.capacity import requests as asking
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway.requests import exchange
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

# Seconds after which a request is worth sending again while this instance
# knows no configuration yet; it reads it within some milliseconds.
NO_CONFIGURATION_RETRY = 0.3


class Forwarder:
    """Serve each request as its route says."""

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

    async def judge(self, request: ClientRequest) -> None:
        """Refuse a request by its head, while its body comes.

        Raises KeyMissing, KeyUnknown, or NotRun where that can't be told.
        """
        table = self._state.table
        if table is None:
            return
        route = table.find(request.host, request.path)
        if route is not None:
            await self._admission.admit(route, request)

    async def forward(
        self, request: ClientRequest, answerer: Answerer
    ) -> None:
        """Serve one request.

        Raises YuccarillError for what is refused or failed.
        """
        request = await self._admission.admit(self._find(request), request)
        answerer.admitted(request.account)
        # A newer version may have come while its key was looked up.
        route = self._find(request)
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

    def _find(self, request: ClientRequest) -> Route:
        table = self._state.table
        if table is None:
            raise errors.NoConfiguration(
                'No configuration is known here yet.', NO_CONFIGURATION_RETRY
            )
        route = table.find(request.host, request.path)
        if route is None:
            raise errors.UnknownService(
                f'No route begins this path in version {table.version}.'
            )
        return route

    async def _serve(
        self, route: Route, request: ClientRequest, answerer: Answerer
    ) -> str:
        match route.kind:
            case RouteKind.BATCH:
                answer = await self._intake.submit(route, request)
            case RouteKind.IDEMPOTENT:
                answer = await self._idempotent(route, request)
            case RouteKind.AT_MOST_ONCE:
                answer = await self._at_most_once(route, request)
            case RouteKind.STREAM:
                return await self._streams.serve(route, request, answerer)
        answerer.answer(answer)
        return f'status {answer.status}'

    async def _idempotent(
        self, route: Route, request: ClientRequest
    ) -> TargetAnswer:
        deadline = requests.time_limit(route, request)
        plan = attempts.AttemptPlan(
            deadline=deadline,
            max_attempts=route.max_attempts,
            hedge_delay=attempts.hedge_delay(route.objective),
        )
        record = exchange.SendRecord()
        service = self._service(route)
        entry = await self._capacity.enter(
            service, asking.of_caller(route, request, deadline)
        )
        try:
            return await self._sender.send(
                service, call_of(request, deadline), plan, record, entry
            )
        finally:
            self._usage.began(request.account, record.began_at)

    async def _at_most_once(
        self, route: Route, request: ClientRequest
    ) -> TargetAnswer:
        deadline = requests.time_limit(route, request)
        service = self._service(route)
        call = call_of(request, deadline)
        entry = await self._capacity.enter(
            service, asking.of_caller(route, request, deadline)
        )
        tries = self._sender.tries(service, call, route.max_attempts, entry)
        cause = 'no target is ready'
        while (target := tries.next()) is not None:
            sent_at = Instant(self._clock.seconds())
            if sent_at >= deadline:
                break
            try:
                with port.noted(self._capacity, service, self._clock) as note:
                    answer = await self._calls.send(
                        target, call, deadline, is_fresh=True
                    )
                    note.answer = answer
            except calls_module.CallFailed as error:
                if error.end is calls_module.CallEnd.BROKEN:
                    self._usage.began(request.account, sent_at)
                    # It may have run; another target could run it twice.
                    raise errors.OutcomeUnknown(
                        f'The target broke off: {error}.'
                    ) from error
                cause = str(error)
                tries.not_reached(target)
                continue
            if not answer.not_run:
                self._usage.began(request.account, sent_at)
                return answer
            cause = f'refused with status {answer.status}'
        raise entry.refusal(cause)

    def _service(self, route: Route) -> ServiceName:
        service = route.choose_service(self._state.generator)
        if service is None:
            raise errors.NoTarget('The route has no service.', 1.0)
        return service


def call_of(
    request: ClientRequest, deadline: Instant | None
) -> calls_module.TargetCall:
    """Return a request as a target gets it."""
    return calls_module.TargetCall(
        id=request.id,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        deadline=deadline,
        account=request.account,
    )
