"""Track trainers' newest versions and replace stale samples."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core import errors
from yuccarill.core.ids import WeightVersion
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.inventory import Trainer
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.rollouts.work import StepWork
    from yuccarill.daemon.controllers.sampling import SampleMaker

log = logs.for_part('rollouts')


class FreshSamples:
    """Enforce the staleness bounds of trainers on the samples of steps."""

    def __init__(self, blackboard: Blackboard, maker: SampleMaker) -> None:
        self._blackboard = blackboard
        self._maker = maker
        # The newest version announced to this instance or read from the store.
        self._newest_by_trainer: dict[TrainerId, WeightVersion] = {}

    def trainer(self, trainer_id: TrainerId) -> Trainer:
        """Return a trainer of the configuration in force.

        Raises NoConfiguration or UnknownTrainer.
        """
        snapshot = self._blackboard.snapshot
        if snapshot is None:
            raise errors.NoConfiguration(
                'No configuration is loaded yet; try again.', retry_after=1.0
            )
        for trainer in snapshot.inventory.trainers:
            if trainer.id == trainer_id:
                return trainer
        raise errors.UnknownTrainer(
            f'Trainer {trainer_id} is not in the inventory; check its name.'
        )

    def newest(self, trainer_id: TrainerId) -> WeightVersion:
        """Return a trainer's newest known version, or 0 if unknown."""
        return self._newest_by_trainer.get(trainer_id, WeightVersion(0))

    def raise_newest(
        self, trainer_id: TrainerId, version: WeightVersion
    ) -> WeightVersion:
        """Record a version if it is newer; return the newest."""
        known = self._newest_by_trainer.get(trainer_id, version)
        self._newest_by_trainer[trainer_id] = max(known, version)
        return self._newest_by_trainer[trainer_id]

    def replace_stale(
        self, trainer: Trainer, work: StepWork, newest: WeightVersion
    ) -> None:
        """Drop and regenerate the samples that are too old for a version."""
        stale = work.drop_stale(newest, trainer.staleness_bound)
        if stale:
            log.info(
                'Stale samples dropped.', step=work.step, count=len(stale)
            )
            self._maker.requeue(work, stale)
