"""One append-only file of the disk log, with checksummed records."""

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
    """A finished sample, encoded for its trainer."""

    trainer: TrainerId
    step: StepNumber
    id: SampleId
    oldest_version: WeightVersion
    encoded: bytes


class Extent(msgspec.Struct, frozen=True):
    """The position of a record in its file, in bytes."""

    offset: int
    length: int


class Segment:
    """Append records to one file and read them."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.size = path.stat().st_size if path.exists() else 0
        self._file = path.open('a+b', buffering=0)

    def append(self, records: list[SampleRecord]) -> list[Extent]:
        """Write records with one system call.

        Raises OSError; the file can then end in a torn record, so no more
        records may be appended.
        """
        frames = [_encode_frame(record) for record in records]
        extents = []
        offset = self.size
        for frame in frames:
            extents.append(Extent(offset, len(frame)))
            offset += len(frame)
        data = b''.join(frames)
        written = self._file.write(data)
        if written != len(data):
            raise OSError(f'only {written} of {len(data)} bytes were written')
        self.size = offset
        return extents

    def sync(self) -> None:
        """Make all appended records durable."""
        os.fdatasync(self._file.fileno())

    def read(self, extent: Extent) -> SampleRecord | None:
        """Return a record, or None if it is damaged."""
        data = os.pread(self._file.fileno(), extent.length, extent.offset)
        try:
            return _decode_frame(msgpack.unpackb(data))
        except (ValueError, TypeError, msgpack.UnpackException):
            return None

    def scan(self) -> Iterator[tuple[Extent, SampleRecord]]:
        """Yield the records up to the first damaged one."""
        # A crash during a write leaves a torn record at the end. Writes are in
        # order, so no later record was acknowledged.
        offset = 0
        with self.path.open('rb') as file:
            unpacker: Any = msgpack.Unpacker(file, read_size=READ_BYTES)
            while True:
                try:
                    record = _decode_frame(unpacker.unpack())
                except (ValueError, TypeError, msgpack.UnpackException):
                    return
                end = unpacker.tell()
                yield Extent(offset, end - offset), record
                offset = end

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def delete(self) -> None:
        """Remove the file."""
        self.close()
        self.path.unlink()


def _encode_frame(record: SampleRecord) -> bytes:
    payload = msgspec.msgpack.encode(record)
    frame: bytes = msgpack.packb((xxhash.xxh3_64_intdigest(payload), payload))
    return frame


def _decode_frame(frame: Any) -> SampleRecord:
    checksum, payload = frame
    if xxhash.xxh3_64_intdigest(payload) != checksum:
        raise ValueError('the checksum does not match')
    return msgspec.msgpack.decode(payload, type=SampleRecord)
