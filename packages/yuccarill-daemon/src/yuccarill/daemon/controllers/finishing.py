"""Score generated samples and have disks keep them."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.rollouts import sample as sample_module
from yuccarill.core.rollouts.stages import SampleStage

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.sample import Sample
    from yuccarill.core.rollouts.work import StepWork
    from yuccarill.daemon.adapters.scorer import ScorerAdapter
    from yuccarill.daemon.controllers.sample_store import SampleStore

SCORE_TRIES = 8
SCORE_RETRY_SECONDS = 0.5


class SampleFinisher:
    """Carry samples from their last token to the disks."""

    def __init__(
        self,
        blackboard: Blackboard,
        scorer: ScorerAdapter,
        store: SampleStore,
        clock: Any,
    ) -> None:
        self._blackboard = blackboard
        self._scorer = scorer
        self._store = store
        self._clock = clock
        self._stages_by_work: dict[StepWork, dict[Place, SampleStage]] = (
            collections.defaultdict(dict)
        )
        # Samples that are scored or stored right now.
        self.active = 0

    def stages_by_place(self, work: StepWork) -> dict[Place, SampleStage]:
        """Return how far the samples are that have all their tokens."""
        return self._stages_by_work.get(work, {})

    def end(self, work: StepWork) -> None:
        """Forget a step that needs nothing more."""
        self._stages_by_work.pop(work, None)

    async def finish(self, work: StepWork, sample: Sample) -> bool:
        """Fill a sample's place; return False if its step closed meanwhile.

        Raises GroupFailed if the scorer gave no score.
        """
        place = sample_module.place_of(sample.id)
        stages_by_place = self._stages_by_work[work]
        stages_by_place[place] = SampleStage.GENERATED
        self.active += 1
        try:
            scored = await self._score(work, sample)
            if scored is None:
                return False
            stages_by_place[place] = SampleStage.SCORED
            finished = sample_module.finish(scored)
            disks = await self._store.keep(work.trainer, work.step, finished)
            work.add_sample(finished, disks)
            return True
        finally:
            self.active -= 1
            stages_by_place.pop(place, None)

    async def _score(self, work: StepWork, sample: Sample) -> Sample | None:
        # A scorer that fails or is late is asked again: the tokens stand,
        # and making them anew would cost far more.
        place = sample_module.place_of(sample.id)
        last = 'it was not asked'
        for number in range(SCORE_TRIES):
            if not work.is_open:
                return None
            stages_by_place = self._stages_by_work[work]
            stages_by_place[place] = SampleStage.SCORING
            try:
                score = await self._scorer.score(
                    self._scorer_address(work), sample
                )
                return msgspec.structs.replace(sample, score=score)
            except errors.YuccarillError as error:
                last = error.message
            stages_by_place[place] = SampleStage.GENERATED
            await task.deferLater(
                self._clock, SCORE_RETRY_SECONDS * number, lambda: None
            )
        raise errors.GroupFailed(last)

    def _scorer_address(self, work: StepWork) -> str:
        head = self._blackboard.snapshot
        trainers = head.inventory.trainers if head is not None else ()
        for trainer in trainers:
            if trainer.id == work.trainer and head is not None:
                scorers = {s.id: s for s in head.inventory.scorers}
                return scorers[trainer.scorer].address
        raise errors.UnknownTrainer(f'Trainer {work.trainer} was removed.')
