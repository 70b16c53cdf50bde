"""Claim steps and write the manifests of their samples."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.ids import WallTime
from yuccarill.core.leases import shards
from yuccarill.core.rollouts import records
from yuccarill.daemon.controllers import step_ledger

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.rollouts.replicas import Disk
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.work import StepWork
    from yuccarill.daemon.controllers.sample_store import SampleStore
    from yuccarill.daemon.controllers.staleness import FreshSamples

# Retried because announcements and other holders' claims replace the claim.
MAX_DECIDE_ATTEMPTS = 3


class StepDecider:
    """Write the claims and manifests of this instance's steps."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        ledger: step_ledger.StepLedger,
        store: SampleStore,
        fresh_samples: FreshSamples,
        epoch_for: Callable[[str], Epoch | None],
    ) -> None:
        self._blackboard = blackboard
        self._incarnation = incarnation
        self._ledger = ledger
        self._store = store
        self._fresh_samples = fresh_samples
        self._epoch_for = epoch_for
        self._claims_by_work: dict[StepWork, step_ledger.Claimed] = {}

    def is_claimed(self, work: StepWork) -> bool:
        """Return whether this instance is known to hold a step's claim."""
        return work in self._claims_by_work

    def forget(self, work: StepWork) -> None:
        """Discard the known claim of a step."""
        self._claims_by_work.pop(work, None)

    async def claim(
        self, work: StepWork
    ) -> step_ledger.Claimed | records.Manifest:
        """Claim a step, or adopt the manifest of another holder.

        Raises ClaimLost, StepClosed, StepConflict or StoreUnavailable.
        """
        claim = self._new_claim(work)
        claimed = await self._ledger.claim(work.trainer, work.step, claim)
        if isinstance(claimed, records.Manifest):
            work.decide(claimed)
        else:
            self._claims_by_work[work] = claimed
            self._fresh_samples.raise_newest(
                work.trainer, claimed.claim.newest_version
            )
        return claimed

    async def decide(self, work: StepWork) -> None:
        """Write a step's manifest unless samples or the claim are missing.

        Raises StepClosed, StepConflict, UnknownTrainer or StoreUnavailable.
        """
        for _ in range(MAX_DECIDE_ATTEMPTS):
            if work.manifest is not None:
                return
            try:
                is_whole = await self._try_to_decide(work)
            except errors.ClaimLost:
                self.forget(work)
                work.pending_reason = 'its claim'
                continue
            if not is_whole:
                return

    def _new_claim(self, work: StepWork) -> records.Claim:
        epoch = self._epoch_for(shards.trainer_duty(work.trainer))
        if epoch is None:
            raise errors.ClaimLost(
                f'This instance has no lease on trainer {work.trainer}; '
                'try again.',
                retry_after=0.5,
            )
        return records.Claim(
            holder=self._blackboard.own_instance.id,
            incarnation=self._incarnation,
            epoch=epoch,
            newest_version=self._fresh_samples.raise_newest(
                work.trainer, work.request.newest_version
            ),
            request_digest=work.digest,
        )

    async def _try_to_decide(self, work: StepWork) -> bool:
        claimed = self._claims_by_work.get(work) or await self.claim(work)
        if isinstance(claimed, records.Manifest):
            return True
        trainer = self._fresh_samples.trainer(work.trainer)
        newest = claimed.claim.newest_version
        self._fresh_samples.replace_stale(trainer, work, newest)
        if not work.is_whole:
            return False
        await self._restore_copies(work)
        manifest = self._manifest(work, claimed.claim)
        work.decide(await self._ledger.decide(claimed, manifest))
        return True

    async def _restore_copies(self, work: StepWork) -> None:
        # Without this, a replaced disk or a sample recovered from a single
        # copy would leave a decided step on one disk only.
        places = [
            place
            for place in work.finished_by_place
            if not self._store.has_all_copies(work.disks_by_place[place])
        ]
        kept = await defer.gatherResults(
            [self._store_sample(work, place) for place in places]
        )
        for place, disks in zip(places, kept, strict=True):
            if place in work.disks_by_place:
                work.disks_by_place[place] = disks

    def _store_sample(
        self, work: StepWork, place: Place
    ) -> defer.Deferred[tuple[Disk, ...]]:
        finished = work.finished_by_place[place]
        return defer.ensureDeferred(
            self._store.store_samples(work.trainer, work.step, finished)
        )

    def _manifest(
        self, work: StepWork, claim: records.Claim
    ) -> records.Manifest:
        assert self._blackboard.snapshot is not None
        return records.Manifest(
            trainer=work.trainer,
            step=work.step,
            newest_version=claim.newest_version,
            sample_ids=tuple(f.id for f in work.in_order()),
            digest=work.sample_digest(),
            holder=self._blackboard.own_instance.id,
            incarnation=self._incarnation,
            epoch=claim.epoch,
            stored_on=work.stored_on(),
            revision=self._blackboard.snapshot.revision,
            decided_at=WallTime(time.time()),
        )
