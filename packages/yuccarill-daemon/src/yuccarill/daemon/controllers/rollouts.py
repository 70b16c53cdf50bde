"""Take trainers' steps and deliver each of them once."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WeightVersion
from yuccarill.core.leases import shards
from yuccarill.core.rollouts import delivery
from yuccarill.core.rollouts import records
from yuccarill.core.rollouts import stages
from yuccarill.core.rollouts import work as work_module
from yuccarill.daemon.controllers import step_ledger
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.inventory import Trainer
    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.rollouts.stages import SampleStage
    from yuccarill.core.rollouts.step import StepRequest
    from yuccarill.core.rollouts.work import StepWork
    from yuccarill.daemon.controllers.sample_store import SampleStore
    from yuccarill.daemon.controllers.sampling import SampleMaker

    AskHolder = Callable[[InstanceId, TrainerId, StepNumber], Awaitable[bytes]]

log = logs.for_part('rollouts')

PENDING_SECONDS = 0.2
# Until a leaving holder's shard is worked on by the next one.
HAND_OVER_SECONDS = 1.0
# A claim is lost to each announcement and to another holder's claim.
DECIDE_TRIES = 3


class RolloutController:
    """Hold the steps that this instance works on."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        ledger: step_ledger.StepLedger,
        maker: SampleMaker,
        store: SampleStore,
        ask_holder: AskHolder,
        epoch_for: Callable[[str], Epoch | None],
    ) -> None:
        self._blackboard = blackboard
        self._incarnation = incarnation
        self._ledger = ledger
        self._maker = maker
        self._store = store
        self._ask_holder = ask_holder
        self._epoch_for = epoch_for
        self._work_by_key: dict[tuple[TrainerId, StepNumber], StepWork] = {}
        self._claims_by_work: dict[StepWork, step_ledger.Claimed] = {}
        self._locks_by_work: dict[StepWork, defer.DeferredLock] = {}
        # The newest version that each trainer announced, here or, as far
        # as the store was asked, elsewhere.
        self._newest_by_trainer: dict[TrainerId, WeightVersion] = {}

    async def submit(
        self, trainer_id: TrainerId, request: StepRequest
    ) -> None:
        """Start a step unless it has been started.

        Raises StepClosed, StepConflict or UnknownTrainer.
        """
        trainer = self._trainer(trainer_id)
        if not records.manifest_fits(trainer_id, request.size):
            raise errors.RequestError(
                f'Step {request.step} has {request.size} samples, too many '
                'for one manifest; split the step.'
            )
        work = self._begin(trainer, request)
        try:
            if work.is_open and work not in self._claims_by_work:
                await self._claim(work)
            elif request.newest_version > self._newest(trainer_id):
                await self.announce(trainer_id, request.newest_version)
        except errors.StoreUnavailable as error:
            # Samples may be made without the store, only not delivered.
            # The claim is made up for when the step is fetched.
            log.warning('Step not claimed yet.', cause=error.message)
            work.waits_for = 'the key-value service, to be claimed'
        except errors.RolloutError as error:
            self._forget(work, error)
            raise

    async def fetch(self, trainer_id: TrainerId, step: StepNumber) -> bytes:
        """Return a step's bytes, the same each time.

        Raises UnknownStep, StepPending, StepClosed, GroupFailed or
        SamplesLost.
        """
        work = self._work_by_key.get((trainer_id, step))
        if work is None:
            return await self._fetch_decided(trainer_id, step)
        if work.body is not None:
            return work.body
        if work.error is not None:
            raise work.error
        if work.manifest is None and not work.is_whole:
            raise self._pending(work)
        lock = self._locks_by_work.setdefault(work, defer.DeferredLock())
        # Two fetches at once would decide twice; the second finds the body.
        body: bytes = await lock.run(
            lambda: defer.ensureDeferred(self._deliver(work))
        )
        return body

    def busy_duties(self) -> list[str]:
        """Return the duties with a step that has no manifest yet."""
        return [
            shards.trainer_duty(work.trainer)
            for work in self._work_by_key.values()
            if work.is_open
        ]

    def open_steps(self, trainer_id: TrainerId) -> tuple[StepNumber, ...]:
        """Return a trainer's steps that this instance works on."""
        return tuple(work.step for work in self._open_work(trainer_id))

    async def announce(
        self, trainer_id: TrainerId, version: WeightVersion
    ) -> WeightVersion:
        """Take a trainer's newest version; what is now too old is made anew.

        Raises StoreUnavailable; the version counts here all the same.
        """
        trainer = self._trainer(trainer_id)
        newest = self._raise_newest(trainer_id, version)
        self._maker.raise_newest(trainer_id, newest)
        for work in self._open_work(trainer_id):
            self._renew(trainer, work, newest)
        known = await self._ledger.announce(trainer_id, version)
        return self._raise_newest(trainer_id, known)

    async def acknowledge(
        self, trainer_id: TrainerId, step: StepNumber
    ) -> None:
        """Close a step that its trainer has taken.

        Raises StepConflict if it has not been delivered, StoreUnavailable.
        """
        standing = await self._ledger.read(trainer_id, step)
        if not isinstance(standing, records.Manifest | records.Closed):
            raise errors.StepConflict(
                f'Step {step} has not been delivered; fetch it, or delete '
                'it to give it up.'
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

    def _begin(self, trainer: Trainer, request: StepRequest) -> StepWork:
        key = (trainer.id, request.step)
        work = self._work_by_key.get(key)
        if work is not None and work.error is None:
            if work.digest != request.digest:
                raise errors.StepConflict(
                    f'Step {request.step} was submitted with other groups.'
                )
            return work
        if self._blackboard.is_leaving:
            raise errors.NotRun(
                'This instance leaves and starts no step; submit it again.',
                retry_after=HAND_OVER_SECONDS,
            )
        if work is not None:
            self._forget(work, work.error)
        work = work_module.StepWork(
            trainer.id, request, trainer.policy.spare_groups
        )
        self._work_by_key[key] = work
        log.info('Step started.', trainer=trainer.id, step=request.step)
        defer.ensureDeferred(self._start(trainer, work))
        return work

    async def _start(self, trainer: Trainer, work: StepWork) -> None:
        # A holder that crashed left what it had finished on the disks.
        for finished in await self._store.recover(work.trainer, work.step):
            work.take(finished)
        work.drop_stale(self._newest(trainer.id), trainer.staleness_bound)
        self._maker.make(trainer, work, self._changed)

    async def _claim(
        self, work: StepWork
    ) -> step_ledger.Claimed | records.Manifest:
        epoch = self._epoch_for(shards.trainer_duty(work.trainer))
        if epoch is None:
            raise errors.ClaimLost(
                f'This instance does not hold trainer {work.trainer} now; '
                'try again.',
                retry_after=0.5,
            )
        claim = records.Claim(
            holder=self._blackboard.me.id,
            incarnation=self._incarnation,
            epoch=epoch,
            newest_version=self._raise_newest(
                work.trainer, work.request.newest_version
            ),
            request_digest=work.digest,
        )
        claimed = await self._ledger.claim(work.trainer, work.step, claim)
        if isinstance(claimed, records.Manifest):
            work.decide(claimed)
        else:
            self._claims_by_work[work] = claimed
            self._raise_newest(work.trainer, claimed.claim.newest_version)
        return claimed

    async def _deliver(self, work: StepWork) -> bytes:
        if work.body is not None:
            return work.body
        for _ in range(DECIDE_TRIES):
            if work.manifest is not None:
                break
            try:
                await self._decide(work)
            except errors.StoreUnavailable as error:
                work.waits_for = 'the key-value service, to be decided'
                raise self._pending(work) from error
            except errors.ClaimLost:
                self._claims_by_work.pop(work, None)
                work.waits_for = 'its claim'
        if work.manifest is None:
            raise self._pending(work)
        work.deliver(await self._body(work.manifest, work))
        assert work.body is not None
        log.info('Step delivered.', trainer=work.trainer, step=work.step)
        return work.body

    async def _decide(self, work: StepWork) -> None:
        claimed = self._claims_by_work.get(work) or await self._claim(work)
        if isinstance(claimed, records.Manifest):
            return
        trainer = self._trainer(work.trainer)
        newest = claimed.claim.newest_version
        self._renew(trainer, work, newest)
        if not work.is_whole:
            raise self._pending(work)
        await self._keep_again(work)
        manifest = self._manifest(work, claimed.claim)
        work.decide(await self._ledger.decide(claimed, manifest))

    async def _keep_again(self, work: StepWork) -> None:
        # A disk that was replaced since, or recovered samples of which one
        # copy was found, would leave a decided step on one disk only.
        places = [
            place
            for place in work.finished_by_place
            if not self._store.is_kept(work.disks_by_place[place])
        ]
        kept = [
            defer.ensureDeferred(
                self._store.keep(
                    work.trainer, work.step, work.finished_by_place[place]
                )
            )
            for place in places
        ]
        for place, disks in zip(
            places, await defer.gatherResults(kept), strict=True
        ):
            if place in work.disks_by_place:
                work.disks_by_place[place] = disks

    def _manifest(
        self, work: StepWork, claim: records.Claim
    ) -> records.Manifest:
        assert self._blackboard.head is not None
        return records.Manifest(
            trainer=work.trainer,
            step=work.step,
            newest_version=claim.newest_version,
            sample_ids=tuple(f.id for f in work.in_order()),
            digest=work.sample_digest(),
            holder=self._blackboard.me.id,
            incarnation=self._incarnation,
            epoch=claim.epoch,
            stored_on=work.stored_on(),
            revision=self._blackboard.head.revision,
            decided_at=WallTime(time.time()),
        )

    async def _fetch_decided(
        self, trainer_id: TrainerId, step: StepNumber
    ) -> bytes:
        standing = await self._ledger.read(trainer_id, step)
        match standing:
            case records.Manifest():
                return await self._body(standing, None)
            case records.Closed():
                raise errors.StepClosed(f'Step {step} was closed before.')
            case _:
                raise errors.UnknownStep(
                    f'Step {step} of {trainer_id} is not worked on here; '
                    'submit it.'
                )

    async def _body(
        self, manifest: records.Manifest, work: StepWork | None
    ) -> bytes:
        # Another holder may have decided the step with its own samples.
        # Ours differ from them, so only those that it named are delivered.
        encoded = work.encoded_by_id() if work is not None else {}
        if manifest.sample_ids and manifest.sample_ids[0] in encoded:
            return delivery.encode(manifest, encoded)
        stored = await self._store.load(manifest)
        is_mine = manifest.holder == self._blackboard.me.id
        if is_mine or len(stored) == len(manifest.sample_ids):
            return delivery.encode(manifest, stored)
        return await self._ask_holder(
            manifest.holder, manifest.trainer, manifest.step
        )

    def _renew(
        self, trainer: Trainer, work: StepWork, newest: WeightVersion
    ) -> None:
        stale = work.drop_stale(newest, trainer.staleness_bound)
        if stale:
            log.info('Samples too old.', step=work.step, count=len(stale))
            self._maker.again(work, stale)

    def _changed(self, work: StepWork) -> None:
        if work.error is not None:
            log.error('Step failed.', trainer=work.trainer, step=work.step)
            return
        trainer = self._trainer(work.trainer)
        if work.is_open:
            self._renew(trainer, work, self._newest(work.trainer))

    def stages(
        self, trainer_id: TrainerId, step: StepNumber
    ) -> collections.Counter[SampleStage]:
        """Return how many of a step's samples are at each stage here."""
        work = self._work_by_key.get((trainer_id, step))
        return self._maker.stages(work) if work else collections.Counter()

    def _pending(self, work: StepWork) -> errors.StepPending:
        waits_for = work.waits_for
        if not work.is_whole:
            counted = stages.describe(self._maker.stages(work))
            waits_for = f'its samples ({counted})'
        return errors.StepPending(
            f'Step {work.step} of {work.trainer} waits for {waits_for}.',
            retry_after=PENDING_SECONDS,
        )

    def _open_work(self, trainer_id: TrainerId) -> list[StepWork]:
        return [
            work
            for work in self._work_by_key.values()
            if work.trainer == trainer_id and work.is_open
        ]

    def _newest(self, trainer_id: TrainerId) -> WeightVersion:
        return self._newest_by_trainer.get(trainer_id, WeightVersion(0))

    def _raise_newest(
        self, trainer_id: TrainerId, version: WeightVersion
    ) -> WeightVersion:
        known = self._newest_by_trainer.get(trainer_id, version)
        self._newest_by_trainer[trainer_id] = max(known, version)
        return self._newest_by_trainer[trainer_id]

    def _forget(
        self, work: StepWork, reason: errors.YuccarillError | None
    ) -> None:
        work.error = reason
        self._maker.end(work)
        key = (work.trainer, work.step)
        if self._work_by_key.get(key) is work:
            del self._work_by_key[key]
        self._claims_by_work.pop(work, None)
        self._locks_by_work.pop(work, None)

    def _trainer(self, trainer_id: TrainerId) -> Trainer:
        head = self._blackboard.head
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
