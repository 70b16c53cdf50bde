"""Pass non-repeatable calls to their ticket's home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.calls.ledger import Answer
from yuccarill.core.calls import ticket as ticket_module
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.daemon.controllers.attempts import Call
from yuccarill.daemon.controllers import once
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import RequestId
    from yuccarill.daemon.controllers.once import OnceController
    from yuccarill.daemon.peers.peers import Peers

# Held back from the time passed on, so that the home's own verdict is back
# before this instance gives up on it.
RETURN_SECONDS = 0.02
QUERY_SECONDS = 2.0


class HomeController:
    """Reach the instance that alone may start a request."""

    def __init__(
        self,
        blackboard: Blackboard,
        here: OnceController,
        peers: Peers,
        now: Callable[[], Instant],
    ) -> None:
        self._blackboard = blackboard
        self._here = here
        self._peers = peers
        self._now = now

    async def run(self, call: Call) -> Answer:
        """Run a call at its home and return its answer."""
        home = ticket_module.parse(call.ticket or '').home
        if home == self._blackboard.own_instance.id:
            return await self._here.run(call)
        request = messages.CallRequest(
            ticket=str(call.ticket),
            request_id=call.request_id,
            service=call.service,
            path=call.path,
            query=call.query,
            content_type=call.content_type,
            body=call.body,
            time_left=call.deadline - self._now() - RETURN_SECONDS,
            caller=call.caller,
        )
        seconds = max(0.0, call.deadline - self._now())
        reply = await self._ask(home, request, seconds)
        if isinstance(reply, messages.CallAnswer):
            return Answer(reply.status, reply.content_type, reply.body)
        raise _refusal(reply)

    async def outcome(
        self, ticket: str, request_id: RequestId
    ) -> once.Outcome:
        """Ask a request's home what became of it."""
        home = ticket_module.parse(ticket).home
        if home == self._blackboard.own_instance.id:
            return self._here.outcome(ticket, request_id)
        query = messages.OutcomeQuery(ticket=ticket, request_id=request_id)
        reply = await self._ask(home, query, QUERY_SECONDS)
        if not isinstance(reply, messages.OutcomeReply):
            raise _refusal(reply)
        kept = reply.answer
        answer = kept and Answer(kept.status, kept.content_type, kept.body)
        return once.Outcome(reply.outcome, answer)

    async def handle(
        self, body: messages.CallRequest | messages.OutcomeQuery
    ) -> messages.Body:
        """Answer a peer that passed on a call or asks for its outcome."""
        # The stream turns any error into a refusal of its own; only one
        # made here is the home's verdict on the call.
        try:
            match body:
                case messages.CallRequest():
                    answer = await self._here.run(self._call(body))
                    return _message(answer)
                case messages.OutcomeQuery(ticket=ticket):
                    found = self._here.outcome(ticket, body.request_id)
                    kept = found.answer and _message(found.answer)
                    return messages.OutcomeReply(
                        outcome=found.outcome, answer=kept
                    )
        except errors.YuccarillError as error:
            return messages.CallRefusal(
                code=error.code,
                text=error.message,
                retry_after=error.retry_after,
            )

    def _call(self, body: messages.CallRequest) -> Call:
        return Call(
            request_id=body.request_id,
            service=body.service,
            path=body.path,
            query=body.query,
            content_type=body.content_type,
            body=body.body,
            deadline=Instant(self._now() + body.time_left),
            ticket=body.ticket,
            caller=body.caller,
        )

    async def _ask(
        self, home: InstanceId, body: messages.Body, seconds: float
    ) -> messages.Body:
        peer = self._blackboard.instances_by_id.get(home)
        if peer is None:
            raise errors.OutcomeUnknown(
                'The instance that issued the ticket is gone; an earlier '
                'try may have run.'
            )
        try:
            reply: messages.Body = await self._peers.request(
                peer, body, seconds
            )
            return reply
        except errors.YuccarillError as error:
            # Even if nothing was sent now, an earlier try may have reached
            # the home, which alone knows.
            raise errors.OutcomeUnknown(
                f'{error.message} An earlier try may have run.',
                retry_after=1.0,
            ) from error


def _message(answer: Answer) -> messages.CallAnswer:
    return messages.CallAnswer(
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
    )


def _refusal(reply: messages.Body) -> errors.YuccarillError:
    if isinstance(reply, messages.CallRefusal):
        return errors.error_class_by_code(reply.code)(
            reply.text, reply.retry_after
        )
    return errors.OutcomeUnknown('The home sent a reply of another kind.')
