"""Store the records of trainers' steps in the key-value service."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import errors
from yuccarill.core.rollouts import progress as progress_module
from yuccarill.core.rollouts.progress import Progress
from yuccarill.core.rollouts import records
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter

log = logs.for_part('rollouts')

# Each conflict implies a successful write by another writer.
MAX_SWAPS = 8


class Claimed(msgspec.Struct, frozen=True):
    """Combine a claim with its version in the store."""

    claim: records.Claim
    version: int


class StepLedger:
    """Claim, decide and close steps by compare-and-swap."""

    def __init__(self, key_value: KeyValueAdapter) -> None:
        self._key_value = key_value

    async def read(
        self, trainer: TrainerId, step: StepNumber
    ) -> records.StepRecord | None:
        """Return the stored record of a step.

        Raises StoreUnavailable.
        """
        entry = await self._key_value.get(records.step_key(trainer, step))
        return None if entry.is_absent else records.decode(entry.value)

    async def progress(self, trainer: TrainerId) -> Progress:
        """Return the progress of a trainer.

        Raises StoreUnavailable.
        """
        entry = await self._key_value.get(records.progress_key(trainer))
        return _decode_progress(entry.value)

    async def claim(
        self, trainer: TrainerId, step: StepNumber, claim: records.Claim
    ) -> Claimed | records.Manifest:
        """Claim a step, or return its manifest if it is decided.

        Also announces the claim's newest version; the returned claim has
        the newest version in the store. Raises StepClosed, StepConflict,
        ClaimLost or StoreUnavailable.
        """

        def update(progress: Progress) -> Progress:
            raised = progress_module.raise_newest(
                progress, claim.newest_version
            )
            return progress_module.open_step(raised, step)

        progress = await self._change_progress(trainer, update)
        await self._raise_claims(trainer, progress, excluded=step)
        claim = msgspec.structs.replace(
            claim, newest_version=progress.newest_version
        )
        return await self._claim(trainer, step, claim)

    async def announce(
        self, trainer: TrainerId, version: WeightVersion
    ) -> WeightVersion:
        """Store a trainer's newest version and return the newest known.

        Also updates the version in the claims on open steps.
        Raises StoreUnavailable.
        """
        progress = await self._change_progress(
            trainer, lambda p: progress_module.raise_newest(p, version)
        )
        await self._raise_claims(trainer, progress)
        return progress.newest_version

    async def decide(
        self, claimed: Claimed, manifest: records.Manifest
    ) -> records.Manifest:
        """Write a step's manifest; return the one in effect.

        Raises ClaimLost, StepClosed or StoreUnavailable.
        """
        key = records.step_key(manifest.trainer, manifest.step)

        def change(
            record: records.StepRecord | None, version: int
        ) -> records.StepRecord:
            decided = _manifest_of(record, manifest.step)
            if decided is None and version != claimed.version:
                raise errors.ClaimLost(
                    f'The claim on step {manifest.step} has changed; its '
                    'samples are checked again.',
                    retry_after=0.1,
                )
            return decided or manifest

        # Another holder may claim the step, or the trainer announce a newer
        # version, before this write. Either changes the claim, so this write
        # fails instead of delivering a second or stale set of samples.
        expected = (claimed.version, records.encode(claimed.claim))
        record, _ = await self._change(key, change, expected)
        assert isinstance(record, records.Manifest)
        return record

    async def close(self, trainer: TrainerId, step: StepNumber) -> None:
        """Close a step permanently and replace its record.

        Raises StoreUnavailable.
        """
        # Updates the progress first: if only the record were replaced, the
        # step could be generated a second time.
        await self._change_progress(
            trainer, lambda p: progress_module.close_step(p, step)
        )
        await self._change(
            records.step_key(trainer, step), lambda *_: records.Closed()
        )

    async def _claim(
        self, trainer: TrainerId, step: StepNumber, claim: records.Claim
    ) -> Claimed | records.Manifest:
        def change(
            record: records.StepRecord | None, version: int
        ) -> records.StepRecord:
            if isinstance(record, records.Claim):
                _check_claim(step, record, claim)
            return _manifest_of(record, step) or claim

        key = records.step_key(trainer, step)
        record, version = await self._change(key, change)
        if isinstance(record, records.Manifest):
            return record
        return Claimed(claim, version)

    async def _raise_claims(
        self,
        trainer: TrainerId,
        progress: Progress,
        excluded: StepNumber | None = None,
    ) -> None:
        for step in progress.open:
            if step != excluded:
                await self._raise_claim(trainer, step, progress.newest_version)

    async def _raise_claim(
        self, trainer: TrainerId, step: StepNumber, newest: WeightVersion
    ) -> None:
        def change(
            record: records.StepRecord | None, version: int
        ) -> records.StepRecord | None:
            if not isinstance(record, records.Claim):
                return record
            raised = max(record.newest_version, newest)
            return msgspec.structs.replace(record, newest_version=raised)

        await self._change(records.step_key(trainer, step), change)

    async def _change_progress(
        self, trainer: TrainerId, change: Callable[[Progress], Progress]
    ) -> Progress:
        key = records.progress_key(trainer)
        for _ in range(MAX_SWAPS):
            entry = await self._key_value.get(key)
            current = _decode_progress(entry.value)
            updated = change(current)
            if updated == current:
                return updated
            try:
                value = msgspec.json.encode(updated)
                await self._key_value.swap(key, value, entry.version)
                return updated
            except errors.StoreConflict:
                continue
        raise _contention_error(key)

    async def _change(
        self,
        key: str,
        change: Callable[[records.StepRecord | None, int], Any],
        expected: tuple[int, bytes] | None = None,
    ) -> tuple[Any, int]:
        """Apply a change by compare-and-swap; return record and version.

        A lost reply is harmless: the retry reads the record first and
        finds its own write.
        """
        for _ in range(MAX_SWAPS):
            version, value = expected or await self._read(key)
            expected = None
            current = records.decode(value) if version else None
            updated = change(current, version)
            if updated == current:
                return updated, version
            try:
                written = await self._key_value.swap(
                    key, records.encode(updated), version
                )
                return updated, written
            except errors.StoreConflict:
                continue
            except errors.StoreUnavailable as error:
                log.info('Write not confirmed.', key=key, cause=error.message)
                continue
        raise _contention_error(key)

    async def _read(self, key: str) -> tuple[int, bytes]:
        entry = await self._key_value.get(key)
        return entry.version, entry.value


def _decode_progress(value: bytes) -> Progress:
    if not value:
        return Progress()
    return msgspec.json.decode(value, type=Progress)


def _check_claim(
    step: StepNumber, record: records.Claim, claim: records.Claim
) -> None:
    if record.request_digest != claim.request_digest:
        raise errors.StepConflict(
            f'Step {step} was submitted with other groups; submit those '
            'again, or delete the step and use a new number.'
        )
    if record.epoch > claim.epoch:
        raise errors.ClaimLost(
            f'Instance {record.holder} has taken over step {step}.',
            retry_after=0.5,
        )


def _manifest_of(
    record: records.StepRecord | None, step: StepNumber
) -> records.Manifest | None:
    match record:
        case records.Manifest():
            return record
        case records.Closed():
            raise errors.StepClosed(f'Step {step} is already closed.')
    return None


def _contention_error(key: str) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        f'The store did not confirm a write of {key}; try again.',
        retry_after=1.0,
    )
