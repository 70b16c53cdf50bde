"""An append-only log of finished samples in bounded space."""

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
    from yuccarill.daemon.storage.segment import Place
    from yuccarill.daemon.storage.segment import SampleRecord
    from yuccarill.daemon.storage.segment import Segment

    StepKey = tuple[TrainerId, StepNumber]

log = logs.for_part('storage')

SEGMENT_BYTES = 64 << 20
MAX_BYTES = 4 << 30
# Below this part of live bytes a full segment's rest is copied onwards.
SPARSE_PART = 0.5


class Slot(msgspec.Struct, frozen=True):
    """Say which segment holds a sample, and where."""

    segment: int
    place: segment_module.Place
    oldest_version: WeightVersion


class DiskLog:
    """Keep samples until their step is dropped."""

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
        self._slots_by_step: dict[StepKey, dict[SampleId, Slot]] = {}
        self._unsynced: set[int] = set()
        folder.mkdir(parents=True, exist_ok=True)
        self.store_id = _store_id(folder)
        for path in sorted(folder.glob('*.log')):
            self._recover(int(path.stem), path)
        # What a crash tore stays at the end of its segment; a new one is
        # begun instead of cutting a file that may be wanted as evidence.
        self._active = self._begin()

    @property
    def size(self) -> int:
        """Return the bytes of all segments."""
        return sum(s.size for s in self._segments_by_number.values())

    def append(self, records: list[SampleRecord]) -> None:
        """Write records; they are safe after the next sync.

        Raises DiskFull.
        """
        slots = self._slots_by_step
        new = [
            record
            for record in records
            if record.id not in slots.get((record.trainer, record.step), {})
        ]
        if not new:
            return
        if self.size > self._max_bytes:
            raise errors.DiskFull(
                f'The samples of open steps fill {self._max_bytes} bytes in '
                f'{self._folder}; acknowledge steps or add a disk.',
                retry_after=5.0,
            )
        try:
            places = self._segment().append(new)
        except OSError as error:
            self._active = self._begin()
            raise errors.DiskFull(
                f'Writing in {self._folder} failed ({error}); free space.',
                retry_after=5.0,
            ) from error
        self._unsynced.add(self._active)
        for record, place in zip(new, places, strict=True):
            self._enter(self._active, place, record)

    def sync(self) -> None:
        """Make all that was appended survive a loss of power."""
        for number in self._unsynced:
            if number in self._segments_by_number:
                self._segments_by_number[number].sync()
        self._unsynced.clear()

    def versions_by_id(
        self, trainer: TrainerId, step: StepNumber
    ) -> dict[SampleId, WeightVersion]:
        """Return which samples of a step are kept, with their versions."""
        slots = self._slots_by_step.get((trainer, step), {})
        return {name: slot.oldest_version for name, slot in slots.items()}

    def read(
        self, trainer: TrainerId, step: StepNumber, ids: Iterable[SampleId]
    ) -> list[SampleRecord]:
        """Return those of the samples that are kept and not damaged."""
        slots = self._slots_by_step.get((trainer, step), {})
        found = (self._read(slots[name]) for name in ids if name in slots)
        return [record for record in found if record is not None]

    def steps(self) -> list[StepKey]:
        """Return the steps that samples are kept of."""
        return list(self._slots_by_step)

    def drop(self, trainer: TrainerId, step: StepNumber) -> None:
        """Forget a step's samples and give back their space."""
        for slot in self._slots_by_step.pop((trainer, step), {}).values():
            self._live_bytes_by_number[slot.segment] -= slot.place.length
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
        for place, record in segment.scan():
            self._enter(number, place, record)
            end = place.offset + place.length
        if end < segment.size:
            log.warning(
                'Damaged end left out; the copies elsewhere serve.',
                file=path.name,
                bytes=segment.size - end,
            )

    def _enter(self, number: int, place: Place, record: SampleRecord) -> None:
        step = (record.trainer, record.step)
        slots = self._slots_by_step.setdefault(step, {})
        earlier = slots.get(record.id)
        if earlier is not None:
            self._live_bytes_by_number[earlier.segment] -= earlier.place.length
        slots[record.id] = Slot(number, place, record.oldest_version)
        self._live_bytes_by_number[number] += place.length

    def _read(self, slot: Slot) -> SampleRecord | None:
        return self._segments_by_number[slot.segment].read(slot.place)

    def _segment(self) -> Segment:
        segment = self._segments_by_number[self._active]
        if segment.size >= self._segment_bytes:
            self._active = self._begin()
        return self._segments_by_number[self._active]

    def _begin(self) -> int:
        number = max(self._segments_by_number, default=0) + 1
        path = self._folder / f'{number:012}.log'
        self._segments_by_number[number] = segment_module.Segment(path)
        return number

    def _reclaim(self, number: int) -> None:
        if number == self._active:
            return
        segment = self._segments_by_number[number]
        live = self._live_bytes_by_number[number]
        if live > SPARSE_PART * segment.size:
            return
        # The rest is synced in its new place before its old one goes, or a
        # loss of power in between would take the only copy here.
        if live:
            try:
                self._copy_onwards(number)
                self.sync()
            except OSError as error:
                log.warning('Space not given back.', cause=str(error))
                return
        del self._segments_by_number[number]
        del self._live_bytes_by_number[number]
        segment.delete()

    def _copy_onwards(self, number: int) -> None:
        for step, slots in self._slots_by_step.items():
            names = [n for n, s in slots.items() if s.segment == number]
            records = self.read(*step, names)
            places = self._segment().append(records)
            self._unsynced.add(self._active)
            for record, place in zip(records, places, strict=True):
                self._enter(self._active, place, record)
            for name in set(names) - {record.id for record in records}:
                del slots[name]


def _store_id(folder: pathlib.Path) -> str:
    path = folder / 'store-id'
    if not path.exists():
        path.write_text(uuid.uuid4().hex)
    return path.read_text()
