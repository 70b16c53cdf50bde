"""Work on trainers' steps."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
import xxhash

from yuccarill.core import errors
from yuccarill.core.ids import GroupNumber
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WallTime
from yuccarill.core.rollouts import sample as sample_module
from yuccarill.core.rollouts import step as step_module
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.inventory import Inventory
    from yuccarill.core.config.inventory import Trainer
    from yuccarill.core.rollouts.sample import Sample
    from yuccarill.core.rollouts.sample import Span
    from yuccarill.daemon.adapters.engine import Chunk
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter
    from yuccarill.daemon.adapters.scorer import ScorerAdapter
    from yuccarill.daemon.controllers.calls import CallController

log = logs.for_part('rollouts')

MAX_TRIES = 5
SAMPLE_SECONDS = 60.0


class Delivery(msgspec.Struct, frozen=True):
    """Hold what a trainer receives for a step."""

    manifest: step_module.Manifest
    samples: tuple[sample_module.Sample, ...]


class RolloutController:
    """Make, score and deliver the samples of steps."""

    def __init__(
        self,
        blackboard: Blackboard,
        calls: CallController,
        scorer: ScorerAdapter,
        key_value: KeyValueAdapter,
    ) -> None:
        self._blackboard = blackboard
        self._calls = calls
        self._scorer = scorer
        self._key_value = key_value
        self._steps_by_key: dict[
            tuple[TrainerId, StepNumber], defer.Deferred[bytes]
        ] = {}
        self._delivered_by_key: dict[tuple[TrainerId, StepNumber], bytes] = {}
        self._newest_by_trainer: dict[TrainerId, int] = {}

    def submit(
        self, trainer_id: TrainerId, request: step_module.StepRequest
    ) -> None:
        """Start a step unless it has been started."""
        trainer = self._trainer(trainer_id)
        key = (trainer_id, request.step)
        newest = self._newest_by_trainer.get(trainer_id, 0)
        self._newest_by_trainer[trainer_id] = max(
            newest, request.newest_version
        )
        if key in self._steps_by_key:
            return
        log.info('Step started.', trainer=trainer_id, step=request.step)
        work = defer.ensureDeferred(self._work(trainer, request))
        self._steps_by_key[key] = work
        work.addErrback(self._failed, key)

    def fetch(self, trainer_id: TrainerId, step: StepNumber) -> bytes:
        """Return a delivered step.

        Raises UnknownStep or StepPending.
        """
        key = (trainer_id, step)
        if key in self._delivered_by_key:
            return self._delivered_by_key[key]
        if key not in self._steps_by_key:
            raise errors.UnknownStep(
                f'Step {step} of {trainer_id} is not known here; submit it.'
            )
        raise errors.StepPending(
            f'Step {step} of {trainer_id} is not whole yet.', retry_after=0.2
        )

    def acknowledge(self, trainer_id: TrainerId, step: StepNumber) -> None:
        """Forget the bytes of a step that its trainer has taken."""
        self._delivered_by_key.pop((trainer_id, step), None)

    async def _work(
        self, trainer: Trainer, request: step_module.StepRequest
    ) -> bytes:
        tasks = [
            defer.ensureDeferred(
                self._fresh_sample(trainer, request, GroupNumber(g), member)
            )
            for g, group in enumerate(request.groups)
            for member in range(group.samples)
        ]
        samples = await defer.gatherResults(tasks, consumeErrors=True)
        body = await self._deliver(trainer, request, tuple(samples))
        self._delivered_by_key[(trainer.id, request.step)] = body
        log.info('Step delivered.', trainer=trainer.id, step=request.step)
        return body

    async def _fresh_sample(
        self,
        trainer: Trainer,
        request: step_module.StepRequest,
        group: GroupNumber,
        member: int,
    ) -> Sample:
        name = f'{trainer.id}/{request.step}/{group}/{member}'
        last: errors.YuccarillError | None = None
        for number in range(MAX_TRIES):
            try:
                sample = await self._sample(
                    trainer, request, group, f'{name}/{number}'
                )
            except errors.YuccarillError as error:
                last = error
                continue
            newest = self._newest_by_trainer[trainer.id]
            if sample_module.is_fresh(sample, newest, trainer.staleness_bound):
                return sample
        raise errors.GroupFailed(
            f'Group {group} of step {request.step} can not be finished: '
            f'{last.message if last else "its samples were too old"}'
        )

    async def _sample(
        self,
        trainer: Trainer,
        request: step_module.StepRequest,
        group: GroupNumber,
        name: str,
    ) -> Sample:
        spans: tuple[Span, ...] = ()

        def take(chunk: Chunk) -> None:
            nonlocal spans
            assert chunk.weight_version is not None
            spans = sample_module.append(
                spans, chunk.weight_version, chunk.tokens
            )

        asked = request.groups[group]
        await self._calls.generate(
            trainer.model,
            {
                'request_id': name,
                'prompt': asked.prompt,
                'max_tokens': asked.max_tokens,
            },
            SAMPLE_SECONDS,
            take,
        )
        sample = sample_module.Sample(
            id=SampleId(name), group=group, spans=spans
        )
        scorers = {s.id: s for s in self._inventory().scorers}
        address = scorers[trainer.scorer].address
        score = await self._scorer.score(address, sample)
        return msgspec.structs.replace(sample, score=score)

    async def _deliver(
        self,
        trainer: Trainer,
        request: step_module.StepRequest,
        samples: tuple[Sample, ...],
    ) -> bytes:
        assert self._blackboard.head is not None
        manifest = step_module.Manifest(
            trainer=trainer.id,
            step=request.step,
            newest_version=request.newest_version,
            sample_ids=tuple(sample.id for sample in samples),
            digest=xxhash.xxh3_128_hexdigest(msgspec.json.encode(samples)),
            revision=self._blackboard.head.revision,
            decided_at=WallTime(time.time()),
        )
        key = step_module.manifest_key(trainer.id, request.step)
        # Two instances may both believe they work on the step; only the
        # one whose swap finds the key absent may deliver it.
        await self._key_value.swap(key, msgspec.json.encode(manifest), 0)
        return msgspec.json.encode(Delivery(manifest, samples))

    def _failed(
        self, failure: object, key: tuple[TrainerId, StepNumber]
    ) -> None:
        del self._steps_by_key[key]
        log.error('Step failed.', trainer=key[0], cause=str(failure)[:300])

    def _inventory(self) -> Inventory:
        head = self._blackboard.head
        if head is None:
            raise errors.NoConfiguration(
                'No configuration is known yet; try again.', retry_after=1.0
            )
        return head.inventory

    def _trainer(self, trainer_id: TrainerId) -> Trainer:
        for trainer in self._inventory().trainers:
            if trainer.id == trainer_id:
                return trainer
        raise errors.UnknownTrainer(
            f'Trainer {trainer_id} is not in the inventory; check its name.'
        )
