"""Forward non-repeatable calls to the instance that issued their ticket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.calls.ledger import Answer
from yuccarill.core.calls import ticket as ticket_module
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.daemon.controllers import at_most_once
from yuccarill.daemon.controllers.attempts import Call
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import RequestId
    from yuccarill.daemon.controllers.at_most_once import AtMostOnceController
    from yuccarill.daemon.peers.peers import Peers

# Subtracted from the forwarded deadline, so that the reply of the home arrives
# before this instance times out.
RETURN_SECONDS = 0.02
QUERY_SECONDS = 2.0


class TicketRouter:
    """Forward calls to their home, the only instance that may run them."""

    def __init__(
        self,
        blackboard: Blackboard,
        local: AtMostOnceController,
        peers: Peers,
        now: Callable[[], Instant],
    ) -> None:
        self._blackboard = blackboard
        self._local = local
        self._peers = peers
        self._now = now

    async def run(self, call: Call) -> Answer:
        """Run a call at its home and return its answer."""
        home = ticket_module.parse(call.ticket or '').home
        if home == self._blackboard.own_instance.id:
            return await self._local.run(call)
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
        reply = await self._send(home, request, seconds)
        if isinstance(reply, messages.CallAnswer):
            return Answer(reply.status, reply.content_type, reply.body)
        raise _to_error(reply)

    async def outcome(
        self, ticket: str, request_id: RequestId
    ) -> at_most_once.Outcome:
        """Return the outcome of a request, as known to its home."""
        home = ticket_module.parse(ticket).home
        if home == self._blackboard.own_instance.id:
            return self._local.outcome(ticket, request_id)
        query = messages.OutcomeQuery(ticket=ticket, request_id=request_id)
        reply = await self._send(home, query, QUERY_SECONDS)
        if not isinstance(reply, messages.OutcomeReply):
            raise _to_error(reply)
        stored = reply.answer
        answer = stored and Answer(
            stored.status, stored.content_type, stored.body
        )
        return at_most_once.Outcome(reply.outcome, answer)

    async def handle(
        self, body: messages.CallRequest | messages.OutcomeQuery
    ) -> messages.Body:
        """Answer a peer that forwards a call or queries its outcome."""
        # The stream turns any error into a generic refusal. CallRefusal marks
        # an error as the result of the call at its home.
        try:
            match body:
                case messages.CallRequest():
                    answer = await self._local.run(self._to_call(body))
                    return _to_message(answer)
                case messages.OutcomeQuery(ticket=ticket):
                    known = self._local.outcome(ticket, body.request_id)
                    stored = known.answer and _to_message(known.answer)
                    return messages.OutcomeReply(
                        outcome=known.outcome, answer=stored
                    )
        except errors.YuccarillError as error:
            return messages.CallRefusal(
                code=error.code,
                text=error.message,
                retry_after=error.retry_after,
            )

    def _to_call(self, body: messages.CallRequest) -> Call:
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

    async def _send(
        self, home: InstanceId, body: messages.Body, seconds: float
    ) -> messages.Body:
        peer = self._blackboard.instances_by_id.get(home)
        if peer is None:
            raise errors.OutcomeUnknown(
                'The instance that issued the ticket is gone; an earlier '
                'attempt may have run.'
            )
        try:
            reply: messages.Body = await self._peers.request(
                peer, body, seconds
            )
            return reply
        except errors.YuccarillError as error:
            # The home may have received an earlier attempt, even if nothing
            # was sent now.
            raise errors.OutcomeUnknown(
                f'{error.message} An earlier attempt may have run.',
                retry_after=1.0,
            ) from error


def _to_message(answer: Answer) -> messages.CallAnswer:
    return messages.CallAnswer(
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
    )


def _to_error(reply: messages.Body) -> errors.YuccarillError:
    if isinstance(reply, messages.CallRefusal):
        return errors.error_class_by_code(reply.code)(
            reply.text, reply.retry_after
        )
    return errors.OutcomeUnknown(
        'The issuer of the ticket sent a reply of an unexpected type.'
    )
