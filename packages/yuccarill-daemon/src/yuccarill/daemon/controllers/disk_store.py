"""Store samples of other instances on the local disk."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.rollouts import replicas
from yuccarill.daemon import logs
from yuccarill.daemon.storage.segment import SampleRecord
from yuccarill.wire import messages

if TYPE_CHECKING:
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.rollouts.replicas import Disk
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter
    from yuccarill.daemon.controllers.membership import MembershipController
    from yuccarill.daemon.controllers.step_ledger import StepLedger
    from yuccarill.daemon.storage.disk_log import DiskLog

log = logs.for_part('storage')

# Batches that arrive within this time share one disk sync.
SYNC_SECONDS = 0.02
REFRESH_SECONDS = 60.0
# Well below the maximum frame size between instances.
MAX_REPLY_BYTES = 4 << 20
MAX_SWAPS = 8


class DiskStore:
    """Answer requests to store, return and delete samples."""

    def __init__(
        self, disk_log: DiskLog, ledger: StepLedger, clock: Any = reactor
    ) -> None:
        self._log = disk_log
        self._ledger = ledger
        self._clock = clock
        self._pending: list[defer.Deferred[None]] = []

    async def handle(self, body: messages.DiskRequest) -> messages.Body:
        """Answer a peer's request.

        Raises DiskFull.
        """
        match body:
            case messages.SamplesKeep():
                await self._keep(body)
            case messages.SamplesList(trainer=trainer, step=step):
                names = self._log.versions_by_id(trainer, step)
                return messages.SamplesListed(ids=tuple(names))
            case messages.SamplesRead():
                return self._read_samples(body)
            case messages.SamplesDrop(trainer=trainer, step=step):
                self._log.drop(trainer, step)
        return messages.Done()

    async def follow(self) -> None:
        """Drop the samples of closed steps periodically.

        Covers steps whose SamplesDrop request was lost and closed steps
        that a restart loaded from the disk.
        """
        while True:
            try:
                await self.drop_closed()
            except errors.StoreUnavailable as error:
                log.warning('Trainer progress not read.', cause=error.message)
            await task.deferLater(self._clock, REFRESH_SECONDS, lambda: None)

    async def drop_closed(self) -> None:
        """Drop the samples of closed steps.

        Raises StoreUnavailable.
        """
        steps = self._log.steps()
        for trainer in sorted({trainer for trainer, _ in steps}):
            progress = await self._ledger.progress(trainer)
            for owner, step in steps:
                if owner == trainer and progress.is_closed(step):
                    self._log.drop(trainer, step)

    async def _keep(self, body: messages.SamplesKeep) -> None:
        self._log.append(
            [
                SampleRecord(
                    body.trainer,
                    body.step,
                    sample.id,
                    sample.oldest_version,
                    sample.encoded,
                )
                for sample in body.samples
            ]
        )
        if not self._pending:
            self._clock.callLater(SYNC_SECONDS, self._sync)
        done: defer.Deferred[None] = defer.Deferred()
        self._pending.append(done)
        await done

    def _sync(self) -> None:
        pending, self._pending = self._pending, []
        outcome: Any = None
        try:
            self._log.sync()
        except OSError as error:
            outcome = errors.DiskFull(f'Syncing the disk failed: {error}.')
        for done in pending:
            if outcome is None:
                done.callback(None)
            else:
                done.errback(outcome)

    def _read_samples(
        self, body: messages.SamplesRead
    ) -> messages.SamplesFound:
        found: list[messages.KeptSample] = []
        size = 0
        for name in body.ids:
            for record in self._log.read(body.trainer, body.step, [name]):
                size += len(record.encoded)
                if found and size > MAX_REPLY_BYTES:
                    return messages.SamplesFound(samples=tuple(found))
                found.append(
                    messages.KeptSample(
                        record.id, record.oldest_version, record.encoded
                    )
                )
        return messages.SamplesFound(samples=tuple(found))


class DiskRegistry:
    """Track the disk instances, listed under one key of the store."""

    def __init__(
        self,
        key_value: KeyValueAdapter,
        membership: MembershipController,
        clock: Any = reactor,
    ) -> None:
        self._key_value = key_value
        self._membership = membership
        self._clock = clock
        self._disks_by_id: dict[InstanceId, Disk] = {}

    def disks(self) -> list[Disk]:
        """Return the disks of the last refresh."""
        return list(self._disks_by_id.values())

    def usable_instances(self) -> set[InstanceId]:
        """Return the instances that can store new samples."""
        return {instance.id for instance in self._membership.live()}

    async def follow(self, own: Disk | None) -> None:
        """Register this disk, if any, and refresh the list periodically."""
        while True:
            try:
                await self.refresh(own)
            except errors.PlatformError as error:
                log.warning('Disk list not read.', cause=error.message)
            await task.deferLater(self._clock, REFRESH_SECONDS, lambda: None)

    async def refresh(self, own: Disk | None = None) -> None:
        """Read the disk list and register the own disk if it is missing.

        Raises StoreUnavailable.
        """
        for _ in range(MAX_SWAPS):
            entry = await self._key_value.get(replicas.DISKS_KEY)
            disks = _decode(entry.value)
            self._disks_by_id = {disk.instance: disk for disk in disks}
            if own is None or self._disks_by_id.get(own.instance) == own:
                return
            self._disks_by_id[own.instance] = own
            value = msgspec.json.encode(list(self._disks_by_id.values()))
            try:
                await self._key_value.swap(
                    replicas.DISKS_KEY, value, entry.version
                )
                return
            except errors.StoreConflict:
                continue


def _decode(value: bytes) -> list[Disk]:
    if not value:
        return []
    return msgspec.json.decode(value, type=list[replicas.Disk])
