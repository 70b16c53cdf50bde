"""Score generated samples and store them on disk instances."""

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

MAX_SCORE_ATTEMPTS = 8
SCORE_RETRY_SECONDS = 0.5


class SampleFinisher:
    """Score and store samples whose generation is complete."""

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
        # Number of samples being scored or stored.
        self.active = 0

    def stages_by_place(self, work: StepWork) -> dict[Place, SampleStage]:
        """Return the stages of the completely generated samples."""
        return self._stages_by_work.get(work, {})

    def forget(self, work: StepWork) -> None:
        """Discard the state of a step that is finished or closed."""
        self._stages_by_work.pop(work, None)

    async def finish(self, work: StepWork, sample: Sample) -> bool:
        """Score and store a sample; return False if its step was closed.

        Raises GroupFailed if the scorer returned no score.
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
            disks = await self._store.store_samples(
                work.trainer, work.step, finished
            )
            work.add_sample(finished, disks)
            return True
        finally:
            self.active -= 1
            stages_by_place.pop(place, None)

    async def _score(self, work: StepWork, sample: Sample) -> Sample | None:
        # Retries the scorer after a failure or timeout: generating the tokens
        # again would cost far more.
        place = sample_module.place_of(sample.id)
        last_error = 'the scorer was not called'
        for attempt_number in range(MAX_SCORE_ATTEMPTS):
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
                last_error = error.message
            stages_by_place[place] = SampleStage.GENERATED
            await task.deferLater(
                self._clock, SCORE_RETRY_SECONDS * attempt_number, lambda: None
            )
        raise errors.GroupFailed(last_error)

    def _scorer_address(self, work: StepWork) -> str:
        head = self._blackboard.snapshot
        trainers = head.inventory.trainers if head is not None else ()
        for trainer in trainers:
            if trainer.id == work.trainer and head is not None:
                scorers = {s.id: s for s in head.inventory.scorers}
                return scorers[trainer.scorer].address
        raise errors.UnknownTrainer(f'Trainer {work.trainer} was removed.')
