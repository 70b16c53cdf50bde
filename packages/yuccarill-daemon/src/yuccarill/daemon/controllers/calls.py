"""Route callers' requests to the controller that runs them."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import reactor

from yuccarill.core.calls import dispatcher
from yuccarill.core.calls import ledger
from yuccarill.core.calls import paths
from yuccarill.core import errors
from yuccarill.daemon.controllers import at_most_once
from yuccarill.daemon.controllers import attempts
from yuccarill.daemon.controllers.attempts import Call
from yuccarill.daemon.controllers import call_queues
from yuccarill.daemon.controllers import generations
from yuccarill.daemon.controllers import ticket_routing

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.calls.ledger import Answer
    from yuccarill.core.calls.ticket import Ticket
    from yuccarill.core.config.inventory import Service
    from yuccarill.core.ids import CallerId
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import RequestId
    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.adapters.engine import Chunk
    from yuccarill.daemon.adapters.engine import EngineAdapter
    from yuccarill.daemon.adapters.target import TargetAdapter
    from yuccarill.daemon.controllers.at_most_once import Outcome
    from yuccarill.daemon.peers.peers import Peers
    from yuccarill.wire import messages


class CallController:
    """Route calls and enforce at-most-once execution where needed."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        targets: TargetAdapter,
        engines: EngineAdapter,
        peers: Peers,
        limits: ledger.Limits = ledger.Limits(),
        policy: dispatcher.Policy = dispatcher.Policy(),
        now: Callable[[], Any] = time.monotonic,
        wall_now: Callable[[], float] = time.time,
        clock: Any = reactor,
    ) -> None:
        self._blackboard = blackboard
        self._queues = call_queues.CallQueues(blackboard, now, clock, policy)
        self._attempts = attempts.AttemptController(
            self._queues, targets, now, clock
        )
        self._once = at_most_once.AtMostOnceController(
            blackboard,
            incarnation,
            self._attempts,
            now,
            wall_now,
            clock,
            limits,
        )
        self._ticket_router = ticket_routing.TicketRouter(
            blackboard, self._once, peers, now
        )
        self._generations = generations.GenerationController(
            self._queues, engines, now
        )
        self._active = 0

    @property
    def active(self) -> int:
        """Return the number of requests in flight."""
        return self._active + self._once.active

    def new_ticket(self) -> Ticket:
        """Issue a ticket of this incarnation."""
        return self._once.new_ticket()

    def refuse_waiting(self) -> None:
        """Refuse the queued calls, of which no byte was sent."""
        self._queues.refuse_waiting()

    async def run(self, call: Call) -> Answer:
        """Run a call with a validated path and return its answer."""
        self._active += 1
        try:
            if call.ticket is not None:
                # A ticket requires at-most-once execution, even if an outdated
                # configuration lists the path as repeatable.
                return await self._ticket_router.run(call)
            service = self._service(call.service)
            if not paths.is_repeatable(call.path, service.not_repeatable):
                raise errors.RequestError(
                    'This call runs at most once and needs a ticket; get '
                    'one from GET /v1/addresses.'
                )
            return await self._attempts.run(call, is_repeatable=True)
        finally:
            self._active -= 1

    async def outcome(self, ticket: str, request_id: RequestId) -> Outcome:
        """Return the outcome of a non-repeatable request."""
        return await self._ticket_router.outcome(ticket, request_id)

    async def handle(
        self, body: messages.CallRequest | messages.OutcomeQuery
    ) -> messages.Body:
        """Answer a peer's forwarded call or outcome query."""
        return await self._ticket_router.handle(body)

    async def generate(
        self,
        caller: CallerId | None,
        model: ModelName,
        request: dict[str, object],
        timeout: float,
        on_chunk: Callable[[Chunk], None],
    ) -> None:
        """Stream one generation for a caller."""
        self._active += 1
        try:
            await self._generations.generate(
                caller, model, request, timeout, on_chunk
            )
        finally:
            self._active -= 1

    def _service(self, name: ServiceName) -> Service:
        snapshot = self._blackboard.snapshot
        if snapshot is None:
            raise errors.NoConfiguration(
                'No configuration is loaded yet; try again.', retry_after=1.0
            )
        service = snapshot.services_by_name.get(name)
        if service is None:
            raise errors.UnknownService(
                f'Service {name} is not in the inventory; check its name.'
            )
        return service
