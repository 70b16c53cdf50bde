"""Run callers' requests on targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.calls.ledger import Answer
from yuccarill.core.calls.ledger import Ledger
from yuccarill.core.calls.ledger import Stage
from yuccarill.core.calls import router
from yuccarill.core.calls import ticket as ticket_module
from yuccarill.core import errors
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.inventory import Engine
    from yuccarill.core.config.inventory import Inventory
    from yuccarill.core.config.inventory import Service
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import ModelName
    from yuccarill.daemon.adapters.engine import Chunk
    from yuccarill.daemon.adapters.engine import EngineAdapter
    from yuccarill.daemon.adapters.target import TargetAdapter
    from yuccarill.daemon.peers.peers import Peers

MAX_ATTEMPTS = 3


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one call of a plain service."""

    request_id: RequestId
    service: ServiceName
    path: str
    content_type: str
    body: bytes
    seconds: float
    ticket: str | None = None


class CallController:
    """Route calls and keep the promises made about them."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        targets: TargetAdapter,
        engines: EngineAdapter,
        peers: Peers,
    ) -> None:
        self._blackboard = blackboard
        self._incarnation = incarnation
        self._targets = targets
        self._engines = engines
        self._peers = peers
        self._ledger = Ledger()
        self._serial = 0
        self.active = 0

    def new_ticket(self) -> ticket_module.Ticket:
        """Issue a ticket of this incarnation."""
        self._serial += 1
        return ticket_module.Ticket(
            home=self._blackboard.me.id,
            incarnation=self._incarnation,
            serial=self._serial,
        )

    async def run(self, call: Call) -> Answer:
        """Run a call and return its target's answer."""
        service = self._service(call.service)
        self.active += 1
        try:
            if call.path.split('/')[0] not in service.not_repeatable:
                return await self._run_repeatable(call)
            return await self._run_once(call)
        finally:
            self.active -= 1

    async def generate(
        self,
        model: ModelName,
        request: dict[str, object],
        seconds: float,
        on_chunk: Callable[[Chunk], None],
    ) -> None:
        """Stream one generation from an engine."""
        inventory = self._inventory()
        engines = [e for e in inventory.engines if e.model == model]
        if not engines:
            raise errors.UnknownService(f'No engine runs model {model}.')
        engine = self._choose_engine(engines)
        in_flight = self._blackboard.in_flight_by_id
        in_flight[engine.id] += 1
        self.active += 1
        try:
            await self._engines.generate(
                engine.address, request, seconds, on_chunk
            )
        finally:
            in_flight[engine.id] -= 1
            self.active -= 1

    def _choose_engine(self, engines: list[Engine]) -> Engine:
        engine = router.choose(
            engines,
            self._blackboard.in_flight_by_id,
            self._blackboard.me.data_centre,
        )
        assert engine is not None
        return engine  # type: ignore[return-value]

    async def _run_repeatable(self, call: Call) -> Answer:
        tried: frozenset[TargetId] = frozenset()
        last: errors.YuccarillError | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._attempt(call, tried)
            except errors.NoTarget:
                break
            except _AttemptFailed as failure:
                tried |= {failure.target}
                last = failure.cause
        raise last or errors.NoTarget(
            f'No target of {call.service} is left to try.', retry_after=1.0
        )

    async def _run_once(self, call: Call) -> Answer:
        if call.ticket is None:
            raise errors.RequestError(
                'This call runs at most once and needs a ticket; take one '
                'from GET /v1/addresses.'
            )
        ticket = ticket_module.parse(call.ticket)
        if ticket.home != self._blackboard.me.id:
            return await self._forward(call, ticket.home)
        if ticket.incarnation != self._incarnation:
            # The memory that knew this ticket's requests is gone, and one
            # of them may have run. Running it here could charge twice.
            raise errors.OutcomeUnknown(
                'The instance that issued the ticket has restarted; an '
                'earlier try may have run.'
            )
        return await self._run_at_home(call, call.ticket)

    async def _run_at_home(self, call: Call, ticket: str) -> Answer:
        record = self._ledger.begin(ticket, call.request_id)
        if record is not None:
            if record.answer is not None:
                return record.answer
            raise errors.OutcomeUnknown(
                f'An earlier try is {record.stage.value}; ask again later.',
                retry_after=1.0,
            )
        stage, answer = Stage.UNKNOWN, None
        try:
            answer = await self._attempt(call, frozenset())
            stage = Stage.ANSWERED
            return answer
        except errors.NoTarget:
            stage = Stage.NOT_RUN
            raise
        except _AttemptFailed as failure:
            if failure.cause.not_run:
                stage = Stage.NOT_RUN
            raise failure.cause from failure
        finally:
            self._ledger.finish(ticket, call.request_id, stage, answer)

    async def _forward(self, call: Call, home: InstanceId) -> Answer:
        peer = self._blackboard.instances_by_id.get(home)
        if peer is None:
            raise errors.OutcomeUnknown(
                'The instance that issued the ticket is gone; an earlier '
                'try may have run.'
            )
        request = messages.CallRequest(
            ticket=str(call.ticket),
            request_id=call.request_id,
            service=call.service,
            path=call.path,
            content_type=call.content_type,
            body=call.body,
            time_left=call.seconds,
        )
        try:
            reply = await self._peers.request(peer, request, call.seconds)
        except (errors.PeerUnavailable, errors.NotRun) as error:
            # Even if nothing was sent now, an earlier try may have reached
            # the home, which alone knows.
            raise errors.OutcomeUnknown(
                f'{error.message} An earlier try may have run.',
                retry_after=1.0,
            ) from error
        return Answer(reply.status, reply.content_type, reply.body)

    async def _attempt(self, call: Call, tried: frozenset[TargetId]) -> Answer:
        inventory = self._inventory()
        target = router.choose(
            [t for t in inventory.targets if t.service == call.service],
            self._blackboard.in_flight_by_id,
            self._blackboard.me.data_centre,
            tried,
        )
        if target is None:
            raise errors.NoTarget(
                f'No target of {call.service} is left to try.', retry_after=1.0
            )
        in_flight = self._blackboard.in_flight_by_id
        in_flight[target.id] += 1
        try:
            return await self._targets.call(
                target.address,
                call.path,
                call.request_id,
                call.content_type,
                call.body,
                call.seconds,
            )
        except errors.YuccarillError as error:
            raise _AttemptFailed(target.id, error) from error
        finally:
            in_flight[target.id] -= 1

    def _inventory(self) -> Inventory:
        head = self._blackboard.head
        if head is None:
            raise errors.NoConfiguration(
                'No configuration is known yet; try again.', retry_after=1.0
            )
        return head.inventory

    def _service(self, name: ServiceName) -> Service:
        for service in self._inventory().services:
            if service.name == name:
                return service
        raise errors.UnknownService(
            f'Service {name} is not in the inventory; check its name.'
        )


class _AttemptFailed(Exception):
    def __init__(self, target: TargetId, cause: errors.YuccarillError):
        super().__init__(target)
        self.target = target
        self.cause = cause
