"""Test that long texts survive the loss of all instances."""

from __future__ import annotations

from unittest import mock

import msgspec
from nose2.tools import params
from twisted.internet import task

from yuccarill.core.ids import Revision
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs import partial_text
from yuccarill.daemon.gateway.jobs import progress
from yuccarill.daemon.gateway.jobs import runner as runner_module
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

from . import runner_world
from . import world


def text(item: str, events: int) -> partial_text.PartialText:
    return partial_text.PartialText(
        item=ItemId(item),
        body_digest=b'b',
        scoring_digest=b's',
        parts=tuple(f'd{number}' for number in range(1, events + 1)),
        versions=(WeightVersion(1),),
    )


class ProgressTest(runner_world.RunnerTest):
    def setUp(self) -> None:
        super().setUp()
        self.texts: list[partial_text.PartialText] = []
        self.duty = self.take_duty()
        self.writer = self.write_under(self.duty)

    def take_duty(self) -> runner_world.HeldDuty:
        self.keys.put(keys.duty(world.SERVICE), b'held')
        return runner_world.HeldDuty(Revision(self.keys.revision))

    def write_under(
        self, duty: runner_world.HeldDuty
    ) -> progress.ProgressWriter:
        found = progress.ProgressWriter(
            duty,
            progress.ProgressStore(world.SERVICE, self.store()),
            lambda: self.texts,
            lambda seconds: task.deferLater(self.clock, seconds),
            self.clock,
        )
        found.start()
        self.addCleanup(found.stop)
        return found

    def read(self) -> dict[str, int]:
        saved = progress.ProgressStore(world.SERVICE, self.store())
        found = self.finish(saved.read())
        return {each.item: len(each.parts) for each in found}

    def write(self, **events_by_item: int) -> None:
        self.texts = [text(i, events) for i, events in events_by_item.items()]
        self.run_for(progress.WRITE_SECONDS + 0.1)

    def test_growing_texts_are_read_in_full(self) -> None:
        self.write(a=30, b=40)
        self.write(a=50, b=60, c=25)
        self.assertEqual({'a': 50, 'b': 60, 'c': 25}, self.read())

    def test_short_texts_are_not_saved(self) -> None:
        self.write(a=progress.MIN_EVENTS - 1, b=progress.MIN_EVENTS)
        self.assertEqual(['b'], list(self.read()))

    def test_no_write_without_changes(self) -> None:
        self.write(a=30)
        before = self.keys.revision
        self.write(a=30)
        self.assertEqual(before, self.keys.revision)

    def test_a_text_survives_overwritten_records(self) -> None:
        # A text is rewritten in full before its first record is overwritten.
        for number in range(3 * progress.SLOTS):
            self.write(a=30 + number)
            self.assertEqual({'a': 30 + number}, self.read())

    def test_the_longest_texts_are_saved_first(self) -> None:
        with mock.patch.object(progress, 'MAX_SIZE', 150):
            self.write(a=30, b=50)
        self.assertEqual({'b': 50}, self.read())

    def test_a_replaced_holder_saves_nothing(self) -> None:
        # The events of a replaced holder can be of other weights and must not
        # be joined with the events of its successor.
        self.write(a=30)
        self.take_duty()
        self.write(a=60)
        self.assertEqual({'a': 30}, self.read())

    def test_records_of_the_next_holder_replace_older_ones(self) -> None:
        for number in range(5):
            self.write(a=30 + number)
        self.writer.stop()
        self.write_under(self.take_duty())
        self.write(a=32)
        self.assertEqual({'a': 32}, self.read())

    @params(store_module.StoreRefused, store_module.StoreOutcomeUnknown)
    def test_a_failed_write_is_repeated(self, error) -> None:
        self.write(a=30)
        with mock.patch.object(
            type(self.store()),
            'transact',
            autospec=True,
            side_effect=error('away'),
        ):
            self.write(a=40)
        self.write(a=50)
        self.write(a=51)
        self.assertEqual({'a': 51}, self.read())

    @params(b'', b'\xc1', msgspec.msgpack.encode({'number': 'x'}))
    def test_an_invalid_record_is_ignored(self, value) -> None:
        self.write(a=30)
        self.keys.put(keys.progress(world.SERVICE, 9), value)
        self.assertEqual({'a': 30}, self.read())

    def test_an_outage_of_the_store_yields_no_texts(self) -> None:
        self.write(a=30)
        with mock.patch.object(
            type(self.store()),
            'page',
            autospec=True,
            side_effect=store_module.StoreRefused('away'),
        ):
            self.assertEqual({}, self.read())


class LossOfAllTest(runner_world.RunnerTest):
    """All instances lose power during a job."""

    def hold_and_write(self, name: str, saved: list) -> runner_module.Runner:
        found = self.hold(name, saved)
        duty = runner_world.HeldDuty(Revision(self.keys.revision))
        writer = progress.ProgressWriter(
            duty,
            progress.ProgressStore(world.SERVICE, self.store()),
            found.open_texts,
            lambda seconds: task.deferLater(self.clock, seconds),
            self.clock,
        )
        writer.start()
        self.addCleanup(writer.stop)
        return found

    def test_texts_continue_from_the_store(self) -> None:
        # Guards against restarting long texts when no copy in memory is left.
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.3
        with mock.patch.object(progress, 'MIN_EVENTS', 2):
            first = self.hold_and_write('a', [])
            self.submit()
            self.run_for(2.5)
            run_count = len(self.engines.runs)
            first.stop()
            self.run_for(1.0)
            saved = progress.ProgressStore(world.SERVICE, self.store())
            self.hold('a', self.finish(saved.read()))
            self.run_for(5.0)
        self.assertEqual(4, len(self.results()))
        for result in self.results():
            self.assertEqual(runner_world.whole_text(), result.text)
        resumed = [first for _, first in self.engines.runs[run_count:]]
        self.assertGreaterEqual(min(resumed), 5)
