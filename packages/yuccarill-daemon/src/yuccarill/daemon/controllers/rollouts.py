"""Accept trainers' steps and deliver one sample set for each."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.leases import shards
from yuccarill.core.rollouts import records
from yuccarill.core.rollouts import work as work_module
from yuccarill.daemon.controllers import staleness
from yuccarill.daemon.controllers import step_decider
from yuccarill.daemon.controllers import step_delivery
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.inventory import Trainer
    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.rollouts.stages import SampleStage
    from yuccarill.core.rollouts.step import StepRequest
    from yuccarill.core.rollouts.work import StepWork
    from yuccarill.daemon.controllers.sample_store import SampleStore
    from yuccarill.daemon.controllers.sampling import SampleMaker
    from yuccarill.daemon.controllers.step_delivery import AskHolder
    from yuccarill.daemon.controllers.step_ledger import StepLedger

log = logs.for_part('rollouts')

# Time until the next holder takes over the shard of a leaving one.
HAND_OVER_SECONDS = 1.0


class RolloutController:
    """Run the steps assigned to this instance."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        ledger: StepLedger,
        maker: SampleMaker,
        store: SampleStore,
        ask_holder: AskHolder,
        epoch_for: Callable[[str], Epoch | None],
    ) -> None:
        self._blackboard = blackboard
        self._ledger = ledger
        self._maker = maker
        self._store = store
        self._fresh_samples = staleness.FreshSamples(blackboard, maker)
        self._decider = step_decider.StepDecider(
            blackboard,
            incarnation,
            ledger,
            store,
            self._fresh_samples,
            epoch_for,
        )
        self._delivery = step_delivery.StepDelivery(
            blackboard, ledger, maker, store, self._decider, ask_holder
        )
        self._work_by_key: dict[tuple[TrainerId, StepNumber], StepWork] = {}

    async def submit(
        self, trainer_id: TrainerId, request: StepRequest
    ) -> None:
        """Start a step unless it is already started.

        Raises NotRun, RequestError, StepClosed, StepConflict, UnknownTrainer.
        """
        trainer = self._trainer(trainer_id)
        if not records.manifest_fits(trainer_id, request.size):
            raise errors.RequestError(
                f'Step {request.step} has {request.size} samples, too many '
                'for one manifest; split the step.'
            )
        work = self._start_work(trainer, request)
        try:
            await self._register(work, request)
        except errors.StoreUnavailable as error:
            # Samples can be generated but not delivered without the store. The
            # next fetch retries the claim.
            log.warning('Step claim delayed.', cause=error.message)
            work.pending_reason = 'the key-value service to store its claim'
        except errors.RolloutError as error:
            self._forget(work, error)
            raise

    async def fetch(self, trainer_id: TrainerId, step: StepNumber) -> bytes:
        """Return a step's bytes, identical at each fetch.

        Raises UnknownStep, StepPending, StepClosed, GroupFailed or
        SamplesLost.
        """
        work = self._work_by_key.get((trainer_id, step))
        if work is None:
            return await self._delivery.fetch_decided(trainer_id, step)
        return await self._delivery.fetch(work)

    def active_duties(self) -> list[str]:
        """Return the duties that have a step without a manifest."""
        return [
            shards.trainer_duty(work.trainer)
            for work in self._work_by_key.values()
            if work.is_open
        ]

    def open_steps(self, trainer_id: TrainerId) -> tuple[StepNumber, ...]:
        """Return a trainer's open steps on this instance."""
        return tuple(work.step for work in self._open_work(trainer_id))

    def stages(
        self, trainer_id: TrainerId, step: StepNumber
    ) -> collections.Counter[SampleStage]:
        """Count a step's samples on this instance by stage."""
        work = self._work_by_key.get((trainer_id, step))
        return self._maker.stages(work) if work else collections.Counter()

    async def announce(
        self, trainer_id: TrainerId, version: WeightVersion
    ) -> WeightVersion:
        """Record a trainer's newest version and regenerate stale samples.

        Raises StoreUnavailable after applying the version locally.
        """
        trainer = self._trainer(trainer_id)
        newest = self._fresh_samples.raise_newest(trainer_id, version)
        self._maker.raise_newest(trainer_id, newest)
        for work in self._open_work(trainer_id):
            self._replace_stale(trainer, work, newest)
        known = await self._ledger.announce(trainer_id, version)
        return self._fresh_samples.raise_newest(trainer_id, known)

    async def acknowledge(
        self, trainer_id: TrainerId, step: StepNumber
    ) -> None:
        """Close a step that its trainer has received.

        Raises StepConflict if it has not been delivered, StoreUnavailable.
        """
        record = await self._ledger.read(trainer_id, step)
        if not isinstance(record, records.Manifest | records.Closed):
            raise errors.StepConflict(
                f'Step {step} has not been delivered; fetch it, or delete '
                'it to abandon it.'
            )
        await self.delete(trainer_id, step)

    async def delete(self, trainer_id: TrainerId, step: StepNumber) -> None:
        """Close a step, delivered or not.

        Raises StoreUnavailable.
        """
        await self._ledger.close(trainer_id, step)
        work = self._work_by_key.get((trainer_id, step))
        if work is not None:
            self._forget(work, errors.StepClosed(f'Step {step} is closed.'))
        await self._store.drop(trainer_id, step)

    def _start_work(self, trainer: Trainer, request: StepRequest) -> StepWork:
        key = (trainer.id, request.step)
        work = self._work_by_key.get(key)
        if work is not None and work.error is None:
            if work.digest != request.digest:
                raise errors.StepConflict(
                    f'Step {request.step} was submitted with different groups.'
                )
            return work
        if self._blackboard.is_leaving:
            raise errors.NotRun(
                'This instance is shutting down and starts no step; submit '
                'it again.',
                retry_after=HAND_OVER_SECONDS,
            )
        if work is not None:
            self._forget(work, work.error)
        work = work_module.StepWork(
            trainer.id, request, trainer.policy.spare_groups
        )
        self._work_by_key[key] = work
        log.info('Step started.', trainer=trainer.id, step=request.step)
        defer.ensureDeferred(self._run_work(trainer, work))
        return work

    async def _run_work(self, trainer: Trainer, work: StepWork) -> None:
        # Reuses the samples that a crashed holder stored on disks.
        for finished in await self._store.recover(work.trainer, work.step):
            work.add_sample(finished)
        newest = self._fresh_samples.newest(trainer.id)
        work.drop_stale(newest, trainer.staleness_bound)
        self._maker.start_step(trainer, work, self._handle_change)

    async def _register(self, work: StepWork, request: StepRequest) -> None:
        if work.is_open and not self._decider.is_claimed(work):
            await self._decider.claim(work)
            return
        newest = self._fresh_samples.newest(work.trainer)
        if request.newest_version > newest:
            await self.announce(work.trainer, request.newest_version)

    def _handle_change(self, work: StepWork) -> None:
        if work.error is not None:
            log.error('Step failed.', trainer=work.trainer, step=work.step)
            return
        trainer = self._trainer(work.trainer)
        if work.is_open:
            newest = self._fresh_samples.newest(work.trainer)
            self._replace_stale(trainer, work, newest)

    def _trainer(self, trainer_id: TrainerId) -> Trainer:
        return self._fresh_samples.trainer(trainer_id)

    def _replace_stale(
        self, trainer: Trainer, work: StepWork, newest: WeightVersion
    ) -> None:
        self._fresh_samples.replace_stale(trainer, work, newest)

    def _open_work(self, trainer_id: TrainerId) -> list[StepWork]:
        return [
            work
            for work in self._work_by_key.values()
            if work.trainer == trainer_id and work.is_open
        ]

    def _forget(
        self, work: StepWork, reason: errors.YuccarillError | None
    ) -> None:
        work.error = reason
        self._maker.cancel_step(work)
        key = (work.trainer, work.step)
        if self._work_by_key.get(key) is work:
            del self._work_by_key[key]
        self._decider.forget(work)
        self._delivery.forget(work)
