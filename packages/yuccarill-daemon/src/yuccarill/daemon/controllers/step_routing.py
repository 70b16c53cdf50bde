"""Route trainers' requests to the holder of the trainer's duty."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import errors
from yuccarill.core.leases import shards
from yuccarill.core.rollouts import step as step_module
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.rollouts.step import StepRequest
    from yuccarill.daemon.controllers.leases import LeaseController
    from yuccarill.daemon.controllers.rollouts import RolloutController
    from yuccarill.daemon.peers.peers import Peers

REQUEST_SECONDS = 5.0
# Below the maximum frame size of 16 MB between instances.
PART_BYTES = 4 << 20
RETRY_SECONDS = 0.5


class StepRouting:
    """Send requests to the holder of a trainer's duty."""

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
        encoded = msgspec.json.encode(request)
        await self._send(messages.StepSubmit(trainer=trainer, request=encoded))

    async def fetch(self, trainer: TrainerId, step: StepNumber) -> bytes:
        """Return the bytes of a complete step."""
        return await _collect(trainer, step, self._send)

    async def announce(
        self, trainer: TrainerId, version: WeightVersion
    ) -> None:
        """Announce a trainer's newest weight version."""
        await self._send(
            messages.VersionAnnounce(trainer=trainer, version=version)
        )

    async def delete(self, trainer: TrainerId, step: StepNumber) -> None:
        """Close a step that its trainer abandons."""
        await self._send(messages.StepDelete(trainer=trainer, step=step))

    async def acknowledge(self, trainer: TrainerId, step: StepNumber) -> None:
        """Close a step that its trainer has received."""
        await self._send(messages.StepAcknowledge(trainer=trainer, step=step))

    async def handle_here(
        self, body: messages.TrainerRequest
    ) -> messages.Body:
        """Answer a trainer's request on this instance."""
        match body:
            case messages.StepSubmit(trainer=trainer, request=encoded):
                await self._rollouts.submit(trainer, decode_request(encoded))
            case messages.StepFetch(trainer=trainer, step=step, offset=offset):
                encoded_step = await self._rollouts.fetch(trainer, step)
                part = encoded_step[offset : offset + PART_BYTES]
                return messages.StepDelivery(body=part, size=len(encoded_step))
            case messages.StepAcknowledge(trainer=trainer, step=step):
                await self._rollouts.acknowledge(trainer, step)
            case messages.StepDelete(trainer=trainer, step=step):
                await self._rollouts.delete(trainer, step)
            case messages.VersionAnnounce(trainer=trainer, version=version):
                await self._rollouts.announce(trainer, version)
        return messages.Done()

    async def _send(self, body: messages.TrainerRequest) -> Any:
        holder = self._leases.holder_of(shards.trainer_duty(body.trainer))
        if holder is None:
            # Without a lease, two instances could run the same step.
            raise errors.NotRun(
                f'No instance holds trainer {body.trainer} now; try again.',
                retry_after=RETRY_SECONDS,
            )
        if holder.id == self._blackboard.own_instance.id:
            return await self.handle_here(body)
        return await self._peers.request(holder, body, REQUEST_SECONDS)


class HolderClient:
    """Fetch a decided step's bytes from the instance that decided it."""

    def __init__(self, blackboard: Blackboard, peers: Peers) -> None:
        self._blackboard = blackboard
        self._peers = peers

    async def fetch(
        self, holder: InstanceId, trainer: TrainerId, step: StepNumber
    ) -> bytes:
        """Return the bytes of a decided step.

        Raises SamplesLost or the error of the holder.
        """
        peer = self._blackboard.instances_by_id.get(holder)

        async def send(request: messages.StepFetch) -> Any:
            if peer is None:
                raise errors.PeerUnavailable(f'Instance {holder} is gone.')
            return await self._peers.request(peer, request, REQUEST_SECONDS)

        try:
            return await _collect(trainer, step, send)
        except (errors.PeerUnavailable, errors.NotRun) as error:
            raise errors.SamplesLost(
                f'Step {step} of {trainer} was decided by {holder}, which '
                f'does not answer ({error.message}); if it will not come '
                'back, delete the step and submit it under a new number.',
                retry_after=1.0,
            ) from error


async def _collect(
    trainer: TrainerId,
    step: StepNumber,
    send: Callable[[messages.StepFetch], Awaitable[Any]],
) -> bytes:
    # A step can exceed the maximum frame size. Its bytes are immutable once it
    # is decided, so parts fetched in sequence are consistent.
    received = bytearray()
    while True:
        reply = await send(
            messages.StepFetch(
                trainer=trainer, step=step, offset=len(received)
            )
        )
        received += reply.body
        if len(received) >= reply.size or not reply.body:
            return bytes(received)


def decode_request(encoded: bytes) -> StepRequest:
    """Decode a step request forwarded by another instance."""
    return msgspec.json.decode(encoded, type=step_module.StepRequest)
