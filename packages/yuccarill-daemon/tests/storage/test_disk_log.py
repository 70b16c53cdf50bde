"""Test the disk log against a dictionary as the model."""

from __future__ import annotations

import pathlib
import tempfile
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
from nose2.tools import params

from yuccarill.core import errors
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.daemon.storage import disk_log
from yuccarill.daemon.storage import segment

TRAINER = TrainerId('t')
SEGMENT_BYTES = 300

ACTIONS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('append'), strategies.integers(1, 4)
        ),
        strategies.tuples(strategies.just('drop'), strategies.integers(1, 4)),
        strategies.tuples(strategies.just('reopen'), strategies.just(0)),
    ),
    max_size=40,
)


def _record(step: int, number: int, size: int = 40) -> segment.SampleRecord:
    return segment.SampleRecord(
        TRAINER,
        StepNumber(step),
        SampleId(f't/{step}/0/{number}/i.1'),
        WeightVersion(1),
        bytes([number % 251]) * size,
    )


class DiskLogTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _open(self, **bounds: int) -> disk_log.DiskLog:
        opened = disk_log.DiskLog(
            self.folder, **{'segment_bytes': SEGMENT_BYTES, **bounds}
        )
        self.addCleanup(opened.close)
        return opened

    @hypothesis.seed(6)
    @hypothesis.settings(deadline=None, database=None, max_examples=60)
    @hypothesis.given(ACTIONS)
    def test_against_dictionary(self, actions: list[tuple[str, int]]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            log = disk_log.DiskLog(path, SEGMENT_BYTES)
            model_records_by_step: dict[int, list[segment.SampleRecord]] = {}
            for number, (action, step) in enumerate(actions):
                match action:
                    case 'append':
                        record = _record(step, number)
                        log.append([record])
                        model_records_by_step.setdefault(step, []).append(
                            record
                        )
                    case 'drop':
                        log.drop(TRAINER, StepNumber(step))
                        model_records_by_step.pop(step, None)
                    case _:
                        log.close()
                        log = disk_log.DiskLog(path, SEGMENT_BYTES)
                        # A dropped step can reappear when the log is reopened.
                        for key in log.steps():
                            if key[1] not in model_records_by_step:
                                log.drop(*key)
            for step, expected in model_records_by_step.items():
                ids = [record.id for record in expected]
                found = log.read(TRAINER, StepNumber(step), ids)
                self.assertEqual(expected, found)
            log.close()

    def test_recovers_from_a_write_torn_at_any_byte(self) -> None:
        # Guard against power loss during a write: records before the torn
        # one and records written after recovery must be readable.
        log = self._open(segment_bytes=1 << 20)
        log.append([_record(1, 1), _record(1, 2)])
        path = next(self.folder.glob('*.log'))
        whole = path.read_bytes()
        log.append([_record(1, 3)])
        data = path.read_bytes()
        log.close()
        for end in range(len(whole), len(data)):
            for stale in self.folder.glob('*.log'):
                stale.unlink()
            path.write_bytes(data[:end])
            log = self._open()
            log.append([_record(1, 4)])
            log.close()
            log = self._open()
            ids = [_record(1, number).id for number in (1, 2, 3, 4)]
            found = log.read(TRAINER, StepNumber(1), ids)
            self.assertEqual([_record(1, n) for n in (1, 2, 4)], found)
            log.close()

    @params(0, 30, 60)
    def test_damaged_byte_is_never_returned(self, offset: int) -> None:
        log = self._open()
        log.append([_record(1, 1, size=80)])
        path = next(self.folder.glob('*.log'))
        data = bytearray(path.read_bytes())
        data[offset + 20] ^= 1
        path.write_bytes(data)
        ids = [_record(1, 1).id]
        self.assertEqual([], log.read(TRAINER, StepNumber(1), ids))
        log = self._open()
        self.assertEqual({}, log.versions_by_id(TRAINER, StepNumber(1)))

    def test_space_is_bounded(self) -> None:
        # Guard against an old open step that keeps nearly empty segments.
        log = self._open()
        log.append([_record(999, 0)])
        for step in range(1, 200):
            log.append([_record(step, number) for number in range(5)])
            log.drop(TRAINER, StepNumber(step))
        self.assertLess(log.size, 5 * SEGMENT_BYTES)
        self.assertLess(len(list(self.folder.glob('*.log'))), 5)
        expected = log.read(TRAINER, StepNumber(999), [_record(999, 0).id])
        self.assertEqual([_record(999, 0)], expected)

    def test_full_disk_refuses_until_a_step_is_closed(self) -> None:
        log = self._open(max_bytes=2 * SEGMENT_BYTES)
        with self.assertRaises(errors.DiskFull):
            for number in range(100):
                log.append([_record(1, number)])
        log.drop(TRAINER, StepNumber(1))
        log.append([_record(2, 1)])

    def test_failed_write_does_not_hide_later_ones(self) -> None:
        # After a partial write the next record must go to a new segment, or
        # recovery would stop before it.
        log = self._open()
        log.append([_record(1, 1)])

        def tear(self: segment.Segment, records: object) -> None:
            self._file.write(b'\x92torn')
            raise OSError('no space left')

        with mock.patch.object(segment.Segment, 'append', tear):
            with self.assertRaises(errors.DiskFull):
                log.append([_record(1, 2)])
        log.append([_record(1, 3)])
        log = self._open()
        found = log.versions_by_id(TRAINER, StepNumber(1))
        self.assertEqual({_record(1, 1).id, _record(1, 3).id}, set(found))

    def test_copies_are_synced_before_the_old_segment_is_deleted(self) -> None:
        # Guard against power loss during compaction: the old segment may be
        # deleted only after the new one is synced.
        log = self._open()
        log.append([_record(999, 0)])
        log.append([_record(1, number) for number in range(8)])
        log.append([_record(2, 0)])
        order: list[str] = []
        with (
            mock.patch.object(
                segment.Segment, 'sync', lambda s: order.append('sync')
            ),
            mock.patch.object(
                segment.Segment, 'delete', lambda s: order.append('delete')
            ),
        ):
            log.drop(TRAINER, StepNumber(1))
        self.assertLess(order.index('sync'), order.index('delete'))

    def test_same_sample_twice_takes_space_once(self) -> None:
        log = self._open()
        log.append([_record(1, 1)])
        size = log.size
        log.append([_record(1, 1)])
        self.assertEqual(size, log.size)
