"""One file of the disk log: checksummed records, only ever appended."""

from __future__ import annotations

import os
from typing import Any
from typing import TYPE_CHECKING

import msgpack
import msgspec
import xxhash

from yuccarill.core.ids import SampleId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Iterator
    import pathlib

READ_BYTES = 1 << 20


class SampleRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold one finished sample as its trainer will receive it."""

    trainer: TrainerId
    step: StepNumber
    id: SampleId
    oldest_version: WeightVersion
    encoded: bytes


class Place(msgspec.Struct, frozen=True):
    """Say where in its file a record stands."""

    offset: int
    length: int


class Segment:
    """Append to one file and read from it."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.size = path.stat().st_size if path.exists() else 0
        self._file = path.open('a+b', buffering=0)

    def append(self, records: list[SampleRecord]) -> list[Place]:
        """Write records with one call of the system.

        Raises OSError; the file may end in a torn record then and must not
        be appended to any more.
        """
        frames = [_frame(record) for record in records]
        places = []
        offset = self.size
        for frame in frames:
            places.append(Place(offset, len(frame)))
            offset += len(frame)
        data = b''.join(frames)
        written = self._file.write(data)
        if written != len(data):
            raise OSError(f'{written} of {len(data)} bytes were written')
        self.size = offset
        return places

    def sync(self) -> None:
        """Make what was appended survive a loss of power."""
        os.fdatasync(self._file.fileno())

    def read(self, place: Place) -> SampleRecord | None:
        """Return the record at a place unless its bytes are damaged."""
        data = os.pread(self._file.fileno(), place.length, place.offset)
        try:
            return _record(msgpack.unpackb(data))
        except (ValueError, TypeError, msgpack.UnpackException):
            return None

    def scan(self) -> Iterator[tuple[Place, SampleRecord]]:
        """Return the whole records from the start up to a damaged one."""
        # A crash in the middle of a write leaves a torn record at the end.
        # Nothing behind it was confirmed to anyone, as writes go in order.
        offset = 0
        with self.path.open('rb') as file:
            unpacker: Any = msgpack.Unpacker(file, read_size=READ_BYTES)
            while True:
                try:
                    record = _record(unpacker.unpack())
                except (ValueError, TypeError, msgpack.UnpackException):
                    return
                end = unpacker.tell()
                yield Place(offset, end - offset), record
                offset = end

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def delete(self) -> None:
        """Remove the file."""
        self.close()
        self.path.unlink()


def _frame(record: SampleRecord) -> bytes:
    payload = msgspec.msgpack.encode(record)
    frame: bytes = msgpack.packb((xxhash.xxh3_64_intdigest(payload), payload))
    return frame


def _record(frame: Any) -> SampleRecord:
    checksum, payload = frame
    if xxhash.xxh3_64_intdigest(payload) != checksum:
        raise ValueError('the checksum differs')
    return msgspec.msgpack.decode(payload, type=SampleRecord)
