"""Store finished samples on disk instances and load them."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.core import errors
from yuccarill.core.rollouts import replicas
from yuccarill.core.rollouts.sample import Finished
from yuccarill.daemon import logs
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import SampleId
    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.rollouts.records import Manifest
    from yuccarill.core.rollouts.replicas import Disk
    from yuccarill.daemon.controllers.disk_store import DiskRegistry

    AskDisk = Callable[[InstanceId, messages.Body], Awaitable[Any]]
    StepKey = tuple[TrainerId, StepNumber]

log = logs.for_part('rollouts')

# Samples that finish within this time share a message and a disk sync.
BATCH_SECONDS = 0.05
BATCH_BYTES = 1 << 20
READ_SAMPLES = 512


class SampleStore:
    """Store each sample on two disks in different data centres."""

    def __init__(
        self, registry: DiskRegistry, ask: AskDisk, clock: Any = reactor
    ) -> None:
        self._registry = registry
        self._ask = ask
        self._clock = clock
        self._batches_by_step: dict[StepKey, _Batch] = {}

    async def store_samples(
        self, trainer: TrainerId, step: StepNumber, finished: Finished
    ) -> tuple[Disk, ...]:
        """Store a sample; return the disks that confirmed it.

        Returns fewer than two disks if fewer are reachable: waiting for a
        lost disk would block the trainer, while a sample lost before the
        decision is regenerated.
        """
        key = (trainer, step)
        batch = self._batches_by_step.get(key)
        if batch is None:
            batch = self._batches_by_step[key] = _Batch()
            batch.timer = self._clock.callLater(
                BATCH_SECONDS, self._send, key, batch
            )
        done = batch.add(finished)
        if batch.size >= BATCH_BYTES:
            batch.timer.cancel()
            self._send(key, batch)
        kept: tuple[Disk, ...] = await done
        return kept

    def has_all_copies(self, disks: Iterable[Disk]) -> bool:
        """Return whether a sample has all copies that usable disks allow."""
        return not replicas.choose(
            'any',
            self._registry.disks(),
            self._registry.usable_instances(),
            disks,
        )

    async def load(self, manifest: Manifest) -> dict[SampleId, bytes]:
        """Return the samples of a manifest that its disks still store."""
        found: dict[SampleId, bytes] = {}
        for disk in manifest.stored_on:
            missing = [i for i in manifest.sample_ids if i not in found]
            key = (manifest.trainer, manifest.step)
            for sample in await self._read(disk, key, missing):
                found[sample.id] = sample.encoded
        return found

    async def recover(
        self, trainer: TrainerId, step: StepNumber
    ) -> list[Finished]:
        """Return the samples of an undecided step that disks store."""
        found: dict[SampleId, Finished] = {}
        request = messages.SamplesList(trainer=trainer, step=step)
        for disk in self._usable():
            try:
                listed = await self._ask(disk.instance, request)
            except errors.YuccarillError:
                continue
            missing = [name for name in listed.ids if name not in found]
            for s in await self._read(disk.instance, (trainer, step), missing):
                found[s.id] = Finished(s.id, s.oldest_version, s.encoded)
        return list(found.values())

    async def drop(self, trainer: TrainerId, step: StepNumber) -> None:
        """Drop a closed step's samples; unreachable disks do so later."""
        request = messages.SamplesDrop(trainer=trainer, step=step)
        for disk in self._usable():
            try:
                await self._ask(disk.instance, request)
            except errors.YuccarillError as error:
                log.info('Samples not deleted from disk.', cause=error.message)

    def _usable(self) -> list[Disk]:
        usable = self._registry.usable_instances()
        return [d for d in self._registry.disks() if d.instance in usable]

    async def _read(
        self, disk: InstanceId, key: StepKey, ids: list[SampleId]
    ) -> list[messages.KeptSample]:
        found: list[messages.KeptSample] = []
        position = 0
        while position < len(ids):
            part = tuple(ids[position : position + READ_SAMPLES])
            request = messages.SamplesRead(
                trainer=key[0], step=key[1], ids=part
            )
            try:
                reply = await self._ask(disk, request)
            except errors.YuccarillError as error:
                log.warning('Samples not read.', disk=disk, cause=str(error))
                break
            found.extend(reply.samples)
            # A size-limited reply ends before the last requested sample.
            last = reply.samples[-1].id if reply.samples else part[-1]
            position += part.index(last) + 1
        return found

    def _send(self, key: StepKey, batch: _Batch) -> None:
        if self._batches_by_step.get(key) is batch:
            del self._batches_by_step[key]
        sent = defer.ensureDeferred(self._keep_batch(key, batch))
        sent.addCallbacks(batch.succeed, batch.fail)

    async def _keep_batch(
        self, key: StepKey, batch: _Batch
    ) -> tuple[Disk, ...]:
        request = messages.SamplesKeep(
            trainer=key[0],
            step=key[1],
            samples=tuple(
                messages.KeptSample(f.id, f.oldest_version, f.encoded)
                for f in batch.finished
            ),
        )
        kept: list[Disk] = []
        failed: set[InstanceId] = set()
        while True:
            chosen = replicas.choose(
                f'samples/{key[0]}/{key[1]}',
                self._registry.disks(),
                self._registry.usable_instances() - failed,
                kept,
            )
            if not chosen:
                return tuple(kept)
            sent = [self._ask_one(disk, request, failed) for disk in chosen]
            for disk in await defer.gatherResults(sent):
                kept.extend([disk] if disk is not None else [])

    def _ask_one(
        self,
        disk: Disk,
        request: messages.SamplesKeep,
        failed: set[InstanceId],
    ) -> defer.Deferred[Disk | None]:
        async def ask() -> Disk | None:
            try:
                await self._ask(disk.instance, request)
            except errors.YuccarillError as error:
                log.warning('Samples not stored.', disk=disk, cause=str(error))
                failed.add(disk.instance)
                return None
            return disk

        return defer.ensureDeferred(ask())


class _Batch:
    def __init__(self) -> None:
        self.finished: list[Finished] = []
        self.size = 0
        self.timer: Any = None
        self._waiting: list[defer.Deferred[Any]] = []

    def add(self, finished: Finished) -> defer.Deferred[Any]:
        self.finished.append(finished)
        self.size += len(finished.encoded)
        self._waiting.append(defer.Deferred())
        return self._waiting[-1]

    def succeed(self, kept: tuple[Disk, ...]) -> None:
        for waiting in self._waiting:
            waiting.callback(kept)

    def fail(self, failure: Any) -> None:
        for waiting in self._waiting:
            waiting.errback(failure)
