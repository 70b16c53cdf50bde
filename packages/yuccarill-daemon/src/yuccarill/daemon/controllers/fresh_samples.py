"""Know trainers' newest versions and replace samples too old for them."""

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
    """Hold steps' samples within their trainers' staleness bounds."""

    def __init__(self, blackboard: Blackboard, maker: SampleMaker) -> None:
        self._blackboard = blackboard
        self._maker = maker
        # The newest version that each trainer announced, here or, as far
        # as the store was asked, elsewhere.
        self._newest_by_trainer: dict[TrainerId, WeightVersion] = {}

    def trainer(self, trainer_id: TrainerId) -> Trainer:
        """Return a trainer as the configuration in force has it.

        Raises NoConfiguration or UnknownTrainer.
        """
        head = self._blackboard.snapshot
        if head is None:
            raise errors.NoConfiguration(
                'No configuration is known yet; try again.', retry_after=1.0
            )
        for trainer in head.inventory.trainers:
            if trainer.id == trainer_id:
                return trainer
        raise errors.UnknownTrainer(
            f'Trainer {trainer_id} is not in the inventory; check its name.'
        )

    def newest(self, trainer_id: TrainerId) -> WeightVersion:
        """Return the newest version known of a trainer, 0 if none is."""
        return self._newest_by_trainer.get(trainer_id, WeightVersion(0))

    def raise_newest(
        self, trainer_id: TrainerId, version: WeightVersion
    ) -> WeightVersion:
        """Take a version if it is newer; return the newest."""
        known = self._newest_by_trainer.get(trainer_id, version)
        self._newest_by_trainer[trainer_id] = max(known, version)
        return self._newest_by_trainer[trainer_id]

    def renew(
        self, trainer: Trainer, work: StepWork, newest: WeightVersion
    ) -> None:
        """Drop the samples too old for a version; have them made anew."""
        stale = work.drop_stale(newest, trainer.staleness_bound)
        if stale:
            log.info('Samples too old.', step=work.step, count=len(stale))
            self._maker.again(work, stale)
