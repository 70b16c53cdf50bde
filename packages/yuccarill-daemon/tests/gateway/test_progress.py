"""Test that long texts outlive the loss of all instances."""

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
        kept = progress.ProgressStore(world.SERVICE, self.store())
        found = self.finish(kept.read())
        return {each.item: len(each.parts) for each in found}

    def write(self, **events_by_item: int) -> None:
        self.texts = [text(i, events) for i, events in events_by_item.items()]
        self.run_for(progress.WRITE_SECONDS + 0.1)

    def test_texts_are_read_as_they_grew(self) -> None:
        self.write(a=30, b=40)
        self.write(a=50, b=60, c=25)
        self.assertEqual({'a': 50, 'b': 60, 'c': 25}, self.read())

    def test_short_texts_are_not_kept(self) -> None:
        self.write(a=progress.MIN_EVENTS - 1, b=progress.MIN_EVENTS)
        self.assertEqual(['b'], list(self.read()))

    def test_nothing_new_costs_no_call(self) -> None:
        self.write(a=30)
        before = self.keys.revision
        self.write(a=30)
        self.assertEqual(before, self.keys.revision)

    def test_a_text_outlives_the_records_that_were_written_over(self) -> None:
        # The oldest record is written over. A text that grows longer than
        # all records last is written whole again before its start is gone.
        for number in range(3 * progress.SLOTS):
            self.write(a=30 + number)
            self.assertEqual({'a': 30 + number}, self.read())

    def test_the_longest_go_first_where_all_are_too_many(self) -> None:
        with mock.patch.object(progress, 'MAX_SIZE', 150):
            self.write(a=30, b=50)
        self.assertEqual({'b': 50}, self.read())

    def test_a_holder_that_was_replaced_keeps_nothing(self) -> None:
        # A holder that does not know yet that it was replaced goes on with
        # the same text on other weights. Its events must not be mixed with
        # those of the next holder.
        self.write(a=30)
        self.take_duty()
        self.write(a=60)
        self.assertEqual({'a': 30}, self.read())

    def test_the_next_holder_counts_anew(self) -> None:
        for number in range(5):
            self.write(a=30 + number)
        self.writer.stop()
        self.write_under(self.take_duty())
        self.write(a=32)
        self.assertEqual({'a': 32}, self.read())

    @params(store_module.StoreRefused, store_module.StoreUnclear)
    def test_a_write_that_failed_is_made_up_for(self, error) -> None:
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
    def test_what_is_no_record_is_left_out(self, value) -> None:
        self.write(a=30)
        self.keys.put(keys.progress(world.SERVICE, 9), value)
        self.assertEqual({'a': 30}, self.read())

    def test_nothing_is_waited_for_where_the_store_is_away(self) -> None:
        self.write(a=30)
        with mock.patch.object(
            type(self.store()),
            'page',
            autospec=True,
            side_effect=store_module.StoreRefused('away'),
        ):
            self.assertEqual({}, self.read())


class LossOfAllTest(runner_world.RunnerTest):
    """All instances lose power in the middle of a step.

    A trainer waited 12 s for a step of 8 s: each unfinished text began anew.
    """

    def hold_and_write(self, name: str, kept: list) -> runner_module.Runner:
        found = self.hold(name, kept)
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

    def test_texts_go_on_from_the_store(self) -> None:
        # 1. The holder keeps its long texts in the store each second.
        # 2. All instances are lost, and with them each copy in memory.
        # 3. One comes back, takes the duty and reads what is kept.
        # 4. Texts go on after the last kept event; none is listed twice.
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.3
        with mock.patch.object(progress, 'MIN_EVENTS', 2):
            first = self.hold_and_write('a', [])
            self.submit()
            self.run_for(2.5)
            begun = len(self.engines.runs)
            first.stop()
            self.run_for(1.0)
            kept = progress.ProgressStore(world.SERVICE, self.store())
            self.hold('a', self.finish(kept.read()))
            self.run_for(5.0)
        self.assertEqual(4, len(self.results()))
        for result in self.results():
            self.assertEqual(runner_world.whole_text(), result.text)
        resumed = [first for _, first in self.engines.runs[begun:]]
        self.assertGreaterEqual(min(resumed), 5)
