"""An append-only log of finished samples with a size limit."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
import uuid

import msgspec

from yuccarill.core import errors
from yuccarill.daemon import logs
from yuccarill.daemon.storage import segment as segment_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    import pathlib

    from yuccarill.core.ids import SampleId
    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.daemon.storage.segment import Extent
    from yuccarill.daemon.storage.segment import SampleRecord
    from yuccarill.daemon.storage.segment import Segment

    StepKey = tuple[TrainerId, StepNumber]

log = logs.for_part('storage')

SEGMENT_BYTES = 64 << 20
MAX_BYTES = 4 << 30
# A full segment with a smaller fraction of live bytes is compacted.
MIN_LIVE_FRACTION = 0.5


class IndexEntry(msgspec.Struct, frozen=True):
    """The segment and position of a sample."""

    segment: int
    extent: segment_module.Extent
    oldest_version: WeightVersion


class DiskLog:
    """Store samples until their step is dropped."""

    def __init__(
        self,
        folder: pathlib.Path,
        segment_bytes: int = SEGMENT_BYTES,
        max_bytes: int = MAX_BYTES,
    ) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._max_bytes = max_bytes
        self._segments_by_number: dict[int, Segment] = {}
        self._live_bytes_by_number: collections.Counter[int] = (
            collections.Counter()
        )
        self._entries_by_step: dict[StepKey, dict[SampleId, IndexEntry]] = {}
        self._unsynced: set[int] = set()
        folder.mkdir(parents=True, exist_ok=True)
        self.store_id = _store_id(folder)
        for path in sorted(folder.glob('*.log')):
            self._recover(int(path.stem), path)
        # A torn write stays at the end of its segment, for diagnosis; new
        # records go to a new segment.
        self._active_number = self._start_segment()

    @property
    def size(self) -> int:
        """Return the bytes of all segments."""
        return sum(s.size for s in self._segments_by_number.values())

    def append(self, records: list[SampleRecord]) -> None:
        """Write records; they are durable after the next `sync`.

        Raises DiskFull.
        """
        entries = self._entries_by_step
        new = [
            record
            for record in records
            if record.id not in entries.get((record.trainer, record.step), {})
        ]
        if not new:
            return
        if self.size > self._max_bytes:
            raise errors.DiskFull(
                f'The samples of open steps exceed {self._max_bytes} bytes in '
                f'{self._folder}; acknowledge steps or add a disk.',
                retry_after=5.0,
            )
        try:
            extents = self._writable_segment().append(new)
        except OSError as error:
            self._active_number = self._start_segment()
            raise errors.DiskFull(
                f'Writing to {self._folder} failed ({error}); free space.',
                retry_after=5.0,
            ) from error
        self._unsynced.add(self._active_number)
        for record, extent in zip(new, extents, strict=True):
            self._index_record(self._active_number, extent, record)

    def sync(self) -> None:
        """Make all appended records durable."""
        for number in self._unsynced:
            if number in self._segments_by_number:
                self._segments_by_number[number].sync()
        self._unsynced.clear()

    def versions_by_id(
        self, trainer: TrainerId, step: StepNumber
    ) -> dict[SampleId, WeightVersion]:
        """Return the oldest weight version of each stored sample of a step."""
        entries = self._entries_by_step.get((trainer, step), {})
        return {id_: entry.oldest_version for id_, entry in entries.items()}

    def read(
        self, trainer: TrainerId, step: StepNumber, ids: Iterable[SampleId]
    ) -> list[SampleRecord]:
        """Return the given samples, except for missing and damaged ones."""
        entries = self._entries_by_step.get((trainer, step), {})
        found = (
            self._read_record(entries[id_]) for id_ in ids if id_ in entries
        )
        return [record for record in found if record is not None]

    def steps(self) -> list[StepKey]:
        """Return the steps that have stored samples."""
        return list(self._entries_by_step)

    def drop(self, trainer: TrainerId, step: StepNumber) -> None:
        """Delete a step's samples and reclaim their space."""
        for entry in self._entries_by_step.pop((trainer, step), {}).values():
            self._live_bytes_by_number[entry.segment] -= entry.extent.length
        for number in list(self._segments_by_number):
            self._reclaim(number)

    def close(self) -> None:
        """Close all files."""
        self.sync()
        for segment in self._segments_by_number.values():
            segment.close()

    def _recover(self, number: int, path: pathlib.Path) -> None:
        segment = segment_module.Segment(path)
        self._segments_by_number[number] = segment
        end = 0
        for extent, record in segment.scan():
            self._index_record(number, extent, record)
            end = extent.offset + extent.length
        if end < segment.size:
            log.warning(
                'Skipped damaged segment tail; replicas hold its samples.',
                file=path.name,
                bytes=segment.size - end,
            )

    def _index_record(
        self, number: int, extent: Extent, record: SampleRecord
    ) -> None:
        step = (record.trainer, record.step)
        entries = self._entries_by_step.setdefault(step, {})
        earlier = entries.get(record.id)
        if earlier is not None:
            self._live_bytes_by_number[earlier.segment] -= (
                earlier.extent.length
            )
        entries[record.id] = IndexEntry(number, extent, record.oldest_version)
        self._live_bytes_by_number[number] += extent.length

    def _read_record(self, entry: IndexEntry) -> SampleRecord | None:
        return self._segments_by_number[entry.segment].read(entry.extent)

    def _writable_segment(self) -> Segment:
        segment = self._segments_by_number[self._active_number]
        if segment.size >= self._segment_bytes:
            self._active_number = self._start_segment()
        return self._segments_by_number[self._active_number]

    def _start_segment(self) -> int:
        number = max(self._segments_by_number, default=0) + 1
        path = self._folder / f'{number:012}.log'
        self._segments_by_number[number] = segment_module.Segment(path)
        return number

    def _reclaim(self, number: int) -> None:
        if number == self._active_number:
            return
        segment = self._segments_by_number[number]
        live_bytes = self._live_bytes_by_number[number]
        if live_bytes > MIN_LIVE_FRACTION * segment.size:
            return
        # Sync the copies before deleting the segment: power loss in between
        # would lose the only local copy.
        if live_bytes:
            try:
                self._copy_live_records(number)
                self.sync()
            except OSError as error:
                log.warning('Disk space was not reclaimed.', cause=str(error))
                return
        del self._segments_by_number[number]
        del self._live_bytes_by_number[number]
        segment.delete()

    def _copy_live_records(self, number: int) -> None:
        for step, entries in self._entries_by_step.items():
            ids = [id_ for id_, e in entries.items() if e.segment == number]
            records = self.read(*step, ids)
            extents = self._writable_segment().append(records)
            self._unsynced.add(self._active_number)
            for record, extent in zip(records, extents, strict=True):
                self._index_record(self._active_number, extent, record)
            for id_ in set(ids) - {record.id for record in records}:
                del entries[id_]


def _store_id(folder: pathlib.Path) -> str:
    path = folder / 'store-id'
    if not path.exists():
        path.write_text(uuid.uuid4().hex)
    return path.read_text()
