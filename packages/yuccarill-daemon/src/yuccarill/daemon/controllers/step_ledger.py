"""Keep the durable record of trainers' steps in the key-value service."""

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

# Each try that fails means that another write of the same key succeeded.
MAX_SWAPS = 8


class Claimed(msgspec.Struct, frozen=True):
    """Hold a claim and the store's version of it."""

    claim: records.Claim
    version: int


class StepLedger:
    """Claim, decide and close steps by compare-and-swap."""

    def __init__(self, key_value: KeyValueAdapter) -> None:
        self._key_value = key_value

    async def read(
        self, trainer: TrainerId, step: StepNumber
    ) -> records.StepRecord | None:
        """Return what stands under a step's key.

        Raises StoreUnavailable.
        """
        entry = await self._key_value.get(records.step_key(trainer, step))
        return None if entry.is_absent else records.decode(entry.value)

    async def progress(self, trainer: TrainerId) -> Progress:
        """Return how far a trainer has come.

        Raises StoreUnavailable.
        """
        entry = await self._key_value.get(records.progress_key(trainer))
        return _decode_progress(entry.value)

    async def claim(
        self, trainer: TrainerId, step: StepNumber, claim: records.Claim
    ) -> Claimed | records.Manifest:
        """Become the one that decides a step, or learn how it was decided.

        Announces the claim's newest version as well, and returns with the
        newest that the store knows. Raises StepClosed, StepConflict,
        ClaimLost or StoreUnavailable.
        """

        def enter(progress: Progress) -> Progress:
            raised = progress_module.raise_newest(
                progress, claim.newest_version
            )
            return progress_module.open_step(raised, step)

        progress = await self._change_progress(trainer, enter)
        await self._raise_claims(trainer, progress, but_for=step)
        claim = msgspec.structs.replace(
            claim, newest_version=progress.newest_version
        )
        return await self._claim(trainer, step, claim)

    async def announce(
        self, trainer: TrainerId, version: WeightVersion
    ) -> WeightVersion:
        """Record a trainer's newest version before it counts as told.

        A step that is still open is judged against it from then on.
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
        """Write a step's manifest; return the one that stands.

        Raises ClaimLost or StoreUnavailable.
        """
        key = records.step_key(manifest.trainer, manifest.step)

        def change(
            standing: records.StepRecord | None, version: int
        ) -> records.StepRecord:
            decided = _decided(standing, manifest.step)
            if decided is None and version != claimed.version:
                raise errors.ClaimLost(
                    f'Step {manifest.step} is claimed anew; its samples '
                    'are judged again.',
                    retry_after=0.1,
                )
            return decided or manifest

        # Between the read of the claim and the write, another holder may
        # claim the step or the trainer may announce a newer version. Either
        # changes the claim, so this write fails instead of delivering a
        # second set of samples or a stale one.
        expected = (claimed.version, records.encode(claimed.claim))
        standing, _ = await self._change(key, change, expected)
        assert isinstance(standing, records.Manifest)
        return standing

    async def close(self, trainer: TrainerId, step: StepNumber) -> None:
        """Close a step for good and free its record's place.

        Raises StoreUnavailable.
        """
        # The mark is raised first: with the record gone and the mark not
        # yet raised, the step could be made a second time.
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
            standing: records.StepRecord | None, version: int
        ) -> records.StepRecord:
            if isinstance(standing, records.Claim):
                _check_claim(step, standing, claim)
            return _decided(standing, step) or claim

        key = records.step_key(trainer, step)
        standing, version = await self._change(key, change)
        if isinstance(standing, records.Manifest):
            return standing
        return Claimed(claim, version)

    async def _raise_claims(
        self,
        trainer: TrainerId,
        progress: Progress,
        but_for: StepNumber | None = None,
    ) -> None:
        for step in progress.open:
            if step != but_for:
                await self._raise_claim(trainer, step, progress.newest_version)

    async def _raise_claim(
        self, trainer: TrainerId, step: StepNumber, newest: WeightVersion
    ) -> None:
        def change(
            standing: records.StepRecord | None, version: int
        ) -> records.StepRecord | None:
            if not isinstance(standing, records.Claim):
                return standing
            raised = max(standing.newest_version, newest)
            return msgspec.structs.replace(standing, newest_version=raised)

        await self._change(records.step_key(trainer, step), change)

    async def _change_progress(
        self, trainer: TrainerId, change: Callable[[Progress], Progress]
    ) -> Progress:
        key = records.progress_key(trainer)
        for _ in range(MAX_SWAPS):
            entry = await self._key_value.get(key)
            current = _decode_progress(entry.value)
            wanted = change(current)
            if wanted == current:
                return wanted
            try:
                value = msgspec.json.encode(wanted)
                await self._key_value.swap(key, value, entry.version)
                return wanted
            except errors.StoreConflict:
                continue
        raise _contended(key)

    async def _change(
        self,
        key: str,
        change: Callable[[records.StepRecord | None, int], Any],
        expected: tuple[int, bytes] | None = None,
    ) -> tuple[Any, int]:
        """Swap a record until the change stands; return it with its version.

        A lost reply needs no care of its own here: whoever asks again
        reads first, and finds its own write standing.
        """
        for _ in range(MAX_SWAPS):
            version, value = expected or await self._read(key)
            expected = None
            current = records.decode(value) if version else None
            wanted = change(current, version)
            if wanted == current:
                return wanted, version
            try:
                written = await self._key_value.swap(
                    key, records.encode(wanted), version
                )
                return wanted, written
            except errors.StoreConflict:
                continue
            except errors.StoreUnavailable as error:
                log.info('Write not confirmed.', key=key, cause=error.message)
                continue
        raise _contended(key)

    async def _read(self, key: str) -> tuple[int, bytes]:
        entry = await self._key_value.get(key)
        return entry.version, entry.value


def _decode_progress(value: bytes) -> Progress:
    if not value:
        return Progress()
    return msgspec.json.decode(value, type=Progress)


def _check_claim(
    step: StepNumber, standing: records.Claim, claim: records.Claim
) -> None:
    if standing.request_digest != claim.request_digest:
        raise errors.StepConflict(
            f'Step {step} was submitted with other groups; submit those '
            'again, or delete the step and use a new number.'
        )
    if standing.epoch > claim.epoch:
        raise errors.ClaimLost(
            f'Instance {standing.holder} has taken step {step} over.',
            retry_after=0.5,
        )


def _decided(
    standing: records.StepRecord | None, step: StepNumber
) -> records.Manifest | None:
    match standing:
        case records.Manifest():
            return standing
        case records.Closed():
            raise errors.StepClosed(f'Step {step} was closed before.')
    return None


def _contended(key: str) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        f'The store did not confirm a write of {key}; try again.',
        retry_after=1.0,
    )
