"""Return the bytes of steps, identical at each fetch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.rollouts import delivery
from yuccarill.core.rollouts import records
from yuccarill.core.rollouts import stages
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.rollouts.work import StepWork
    from yuccarill.daemon.controllers.sample_store import SampleStore
    from yuccarill.daemon.controllers.sampling import SampleMaker
    from yuccarill.daemon.controllers.step_decider import StepDecider
    from yuccarill.daemon.controllers.step_ledger import StepLedger

    AskHolder = Callable[[InstanceId, TrainerId, StepNumber], Awaitable[bytes]]

log = logs.for_part('rollouts')

PENDING_SECONDS = 0.2


class StepDelivery:
    """Deliver complete steps, writing missing manifests first."""

    def __init__(
        self,
        blackboard: Blackboard,
        ledger: StepLedger,
        maker: SampleMaker,
        store: SampleStore,
        decider: StepDecider,
        ask_holder: AskHolder,
    ) -> None:
        self._blackboard = blackboard
        self._ledger = ledger
        self._maker = maker
        self._store = store
        self._decider = decider
        self._ask_holder = ask_holder
        self._locks_by_work: dict[StepWork, defer.DeferredLock] = {}

    async def fetch(self, work: StepWork) -> bytes:
        """Return the bytes of a step of this instance.

        Raises StepPending, SamplesLost or the error of a failed step.
        """
        if work.body is not None:
            return work.body
        if work.error is not None:
            raise work.error
        if work.manifest is None and not work.is_whole:
            raise self._pending_error(work)
        lock = self._locks_by_work.setdefault(work, defer.DeferredLock())
        # Prevents concurrent fetches from deciding the step twice.
        body: bytes = await lock.run(
            lambda: defer.ensureDeferred(self._deliver(work))
        )
        return body

    async def fetch_decided(
        self, trainer_id: TrainerId, step: StepNumber
    ) -> bytes:
        """Return the bytes of a step that is known only by its manifest.

        Raises UnknownStep, StepClosed or SamplesLost.
        """
        record = await self._ledger.read(trainer_id, step)
        match record:
            case records.Manifest():
                return await self._body(record, None)
            case records.Closed():
                raise errors.StepClosed(f'Step {step} is already closed.')
            case _:
                raise errors.UnknownStep(
                    f'Step {step} of {trainer_id} is unknown here; submit it.'
                )

    def forget(self, work: StepWork) -> None:
        """Discard the lock of a step."""
        self._locks_by_work.pop(work, None)

    async def _deliver(self, work: StepWork) -> bytes:
        if work.body is not None:
            return work.body
        try:
            await self._decider.decide(work)
        except errors.StoreUnavailable as error:
            work.pending_reason = 'the key-value service to store its manifest'
            raise self._pending_error(work) from error
        if work.manifest is None:
            raise self._pending_error(work)
        work.deliver(await self._body(work.manifest, work))
        assert work.body is not None
        log.info('Step delivered.', trainer=work.trainer, step=work.step)
        return work.body

    async def _body(
        self, manifest: records.Manifest, work: StepWork | None
    ) -> bytes:
        # Another holder may have decided the step with other samples; only
        # those in the manifest may be delivered.
        encoded = work.encoded_by_id() if work is not None else {}
        if manifest.sample_ids and manifest.sample_ids[0] in encoded:
            return delivery.encode(manifest, encoded)
        stored = await self._store.load(manifest)
        is_own = manifest.holder == self._blackboard.own_instance.id
        if is_own or len(stored) == len(manifest.sample_ids):
            return delivery.encode(manifest, stored)
        return await self._ask_holder(
            manifest.holder, manifest.trainer, manifest.step
        )

    def _pending_error(self, work: StepWork) -> errors.StepPending:
        waits_for = work.pending_reason
        if not work.is_whole:
            counted = stages.describe(self._maker.stages(work))
            waits_for = f'its samples ({counted})'
        return errors.StepPending(
            f'Step {work.step} of {work.trainer} waits for {waits_for}.',
            retry_after=PENDING_SECONDS,
        )
