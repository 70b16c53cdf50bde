"""Pass trainers' requests to the instance that works on them."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.leases import shards
from yuccarill.core.rollouts import step as step_module
from yuccarill.wire import messages

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.rollouts.step import StepRequest
    from yuccarill.daemon.controllers.leases import LeaseController
    from yuccarill.daemon.controllers.rollouts import RolloutController
    from yuccarill.daemon.peers.peers import Peers

REQUEST_SECONDS = 5.0


class StepRouting:
    """Reach the holder of a trainer's duty, here or at a peer."""

    def __init__(
        self,
        blackboard: Blackboard,
        leases: LeaseController,
        rollouts: RolloutController,
        peers: Peers,
    ) -> None:
        self._blackboard = blackboard
        self._leases = leases
        self._rollouts = rollouts
        self._peers = peers

    async def submit(self, trainer: TrainerId, request: StepRequest) -> None:
        """Submit a step."""
        encoded = msgspec.json.encode(request)
        await self._send(messages.StepSubmit(trainer=trainer, request=encoded))

    async def fetch(self, trainer: TrainerId, step: StepNumber) -> bytes:
        """Return a delivered step."""
        reply = await self._send(
            messages.StepFetch(trainer=trainer, step=step)
        )
        body: bytes = reply.body
        return body

    async def acknowledge(self, trainer: TrainerId, step: StepNumber) -> None:
        """Close a step."""
        await self._send(messages.StepAcknowledge(trainer=trainer, step=step))

    def handle_here(
        self,
        body: messages.StepSubmit
        | messages.StepFetch
        | messages.StepAcknowledge,
    ) -> messages.Body:
        """Answer a trainer's request on this instance."""
        match body:
            case messages.StepSubmit(trainer=trainer, request=encoded):
                self._rollouts.submit(trainer, decode_request(encoded))
                return messages.Done()
            case messages.StepFetch(trainer=trainer, step=step):
                return messages.StepDelivery(
                    body=self._rollouts.fetch(trainer, step)
                )
            case messages.StepAcknowledge(trainer=trainer, step=step):
                self._rollouts.acknowledge(trainer, step)
                return messages.Done()

    async def _send(self, body: Any) -> Any:
        holder = self._leases.holder_of(shards.trainer_duty(body.trainer))
        if holder is None or holder.id == self._blackboard.me.id:
            return self.handle_here(body)
        return await self._peers.request(holder, body, REQUEST_SECONDS)


def decode_request(encoded: bytes) -> StepRequest:
    """Decode a step as an instance passed it on."""
    return msgspec.json.decode(encoded, type=step_module.StepRequest)
