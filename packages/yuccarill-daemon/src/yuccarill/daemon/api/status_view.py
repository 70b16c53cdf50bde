"""Build the status reply for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Revision
from yuccarill.wire import operators

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.daemon.controllers.leases import LeaseController
    from yuccarill.daemon.peers.traffic import Traffic


class StatusView:
    """Build status replies from this instance's state."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        leases: LeaseController,
        open_steps: Callable[[TrainerId], tuple[StepNumber, ...]],
        traffic: Traffic,
    ) -> None:
        self._blackboard = blackboard
        self._incarnation = incarnation
        self._leases = leases
        self._open_steps = open_steps
        self._traffic = traffic

    def reply(self) -> operators.StatusReply:
        """Return this instance's view of the fleet."""
        head = self._blackboard.snapshot
        return operators.StatusReply(
            instance=self._blackboard.own_instance.id,
            incarnation=self._incarnation,
            revision=head.revision if head else Revision(0),
            is_leaving=self._blackboard.is_leaving,
            peer_bytes_sent=self._traffic.sent,
            peer_bytes_received=self._traffic.received,
            instances=tuple(self._blackboard.instances_by_id.values()),
            targets=tuple(self._targets()),
            trainers=tuple(self._trainers()),
        )

    def _targets(self) -> Iterator[operators.TargetStatus]:
        in_flight_by_id = self._blackboard.in_flight_by_id
        states_by_id = self._blackboard.targets_by_id
        busy = {target for target, count in in_flight_by_id.items() if count}
        for target in sorted(busy | states_by_id.keys()):
            state = states_by_id.get(target)
            yield operators.TargetStatus(
                id=target,
                in_flight=in_flight_by_id.get(target, 0),
                weight_version=state.weight_version if state else None,
                staged_version=state.staged_version if state else None,
            )

    def _trainers(self) -> Iterator[operators.TrainerStatus]:
        head = self._blackboard.snapshot
        for trainer in head.inventory.trainers if head else ():
            holder = self._leases.holder_of(f'trainer/{trainer.id}')
            yield operators.TrainerStatus(
                id=trainer.id,
                holder=holder.id if holder else None,
                open_steps=self._open_steps(trainer.id),
            )
