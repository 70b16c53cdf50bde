"""Make, score and hand over the samples of a step."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.rollouts import sample as sample_module

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.inventory import Trainer
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import SampleId
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.sample import Sample
    from yuccarill.core.rollouts.sample import Span
    from yuccarill.core.rollouts.work import StepWork
    from yuccarill.daemon.adapters.engine import Chunk
    from yuccarill.daemon.adapters.scorer import ScorerAdapter
    from yuccarill.daemon.controllers.calls import CallController
    from yuccarill.daemon.controllers.sample_store import SampleStore

MAX_TRIES = 5
SAMPLE_SECONDS = 60.0


class SampleMaker:
    """Fill the places of steps."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        calls: CallController,
        scorer: ScorerAdapter,
        store: SampleStore,
    ) -> None:
        self._blackboard = blackboard
        self._incarnation = incarnation
        self._calls = calls
        self._scorer = scorer
        self._store = store
        self._attempts = itertools.count(1)

    def make(
        self,
        trainer: Trainer,
        work: StepWork,
        places: Iterable[Place],
        on_change: Callable[[StepWork], None],
    ) -> None:
        """Begin to fill places; report each change of the work."""
        for place in places:
            made = defer.ensureDeferred(self._fill(trainer, work, place))
            made.addErrback(self._fail, work)
            made.addCallback(lambda _: on_change(work))

    async def _fill(
        self, trainer: Trainer, work: StepWork, place: Place
    ) -> None:
        last = 'no try was made'
        for _ in range(MAX_TRIES):
            if not work.is_open:
                return
            try:
                sample = await self._sample(trainer, work, place)
            except errors.YuccarillError as error:
                last = error.message
                continue
            finished = sample_module.finish(sample)
            disks = await self._store.keep(work.trainer, work.step, finished)
            work.take(finished, disks)
            return
        raise errors.GroupFailed(
            f'Group {place.group} of step {work.step} can not be finished '
            f'({last}); submit the step again or delete it.'
        )

    async def _sample(
        self, trainer: Trainer, work: StepWork, place: Place
    ) -> Sample:
        spans: tuple[Span, ...] = ()

        def take(chunk: Chunk) -> None:
            nonlocal spans
            if chunk.weight_version is None:
                raise errors.AnswerCut('The engine named no weight version.')
            spans = sample_module.append(
                spans, chunk.weight_version, chunk.tokens
            )

        name = self._name(work, place)
        asked = work.request.groups[place.group]
        await self._calls.generate(
            trainer.model,
            {
                'request_id': name,
                'prompt': asked.prompt,
                'max_tokens': asked.max_tokens,
                # The members of a group differ by their seed alone.
                'seed': place.member,
            },
            SAMPLE_SECONDS,
            take,
        )
        sample = sample_module.Sample(id=name, group=place.group, spans=spans)
        head = self._blackboard.head
        assert head is not None
        scorers = {s.id: s for s in head.inventory.scorers}
        address = scorers[trainer.scorer].address
        score = await self._scorer.score(address, sample)
        return msgspec.structs.replace(sample, score=score)

    def _name(self, work: StepWork, place: Place) -> SampleId:
        return sample_module.sample_id(
            work.trainer,
            work.step,
            place,
            self._incarnation,
            next(self._attempts),
        )

    def _fail(self, failure: defer.Failure, work: StepWork) -> None:
        if not work.is_open:
            return
        error = failure.value
        if not isinstance(error, errors.YuccarillError):
            error = errors.GroupFailed(f'Step {work.step} broke off: {error}')
        work.error = error
