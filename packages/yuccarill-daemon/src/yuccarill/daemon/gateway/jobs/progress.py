"""Keep long texts under way in the store, for when all instances stop."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.jobs import text_copies
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.partial_text import PartialText
    from yuccarill.daemon.gateway.duty.duties import Duty
    from yuccarill.platform.store import Store

log = logs.for_part('progress')

# Seconds between two writes, each paid for as one call. A loss of all
# instances takes as much of each text.
WRITE_SECONDS = 1.0
# Events from which on a text is kept: about a second of an engine, which is
# what the time between two writes may lose of each text anyway.
MIN_EVENTS = 24
# Characters of text in one write, so that one fits a value of the store with
# room to spare; 100 runs make 0.9 MB a second, and the longest texts go first.
MAX_SIZE = 400_000
# Writes that are kept. A text whose first events were overwritten is written
# whole again.
SLOTS = 16


class ProgressRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what came to texts since the record before."""

    # Under which hold of the duty it was written, and how many were before.
    epoch: int
    number: int
    changes: tuple[text_copies.TextChange, ...]


class ProgressStore:
    """Write and read the last records of one service."""

    def __init__(self, service: ServiceName, store: Store) -> None:
        self._service = service
        self._store = store
        self.number = 0

    async def write(
        self, changes: tuple[text_copies.TextChange, ...], duty: Duty
    ) -> None:
        """Write a record over the oldest one, under a duty.

        Raises StoreRefused, StoreUnclear, and StoreConflict where another
        instance holds the duty: its records must not be mixed with these.
        """
        self.number += 1
        revision = duty.revision
        assert revision is not None
        record = ProgressRecord(
            epoch=revision, number=self.number, changes=changes
        )
        await self._store.transact(
            expected=[
                store_module.Expectation(
                    key=keys.duty(self._service), revision=revision
                )
            ],
            writes=[
                store_module.Write(
                    key=keys.progress(self._service, self.number % SLOTS),
                    value=msgspec.msgpack.encode(record),
                )
            ],
        )

    async def read(self) -> list[PartialText]:
        """Return the texts that the records hold from their start."""
        try:
            records = await self._records()
        except (
            store_module.StoreRefused,
            store_module.StoreUnclear,
        ) as error:
            # The texts are generated anew, at the cost of engines' time.
            log.warning('Texts not read.', cause=str(error))
            return []
        texts = _put_together(records)
        log.info(
            'Texts read.',
            service=self._service,
            records=len(records),
            count=len(texts),
        )
        return texts

    async def _records(self) -> list[ProgressRecord]:
        records: list[ProgressRecord] = []
        after = None
        has_more = True
        prefix = keys.progress_of_service(self._service)
        while has_more:
            page = await self._store.page(prefix, after)
            for entry in page.changes:
                if isinstance(entry, store_module.Removal):
                    continue
                after = entry.key
                records += _decoded(entry)
            has_more = page.has_more
        return records


class ProgressWriter:
    """Write what is new of a runner's long texts.

    A loss of all processes or of all power takes the copies of the other
    instances along: a step that was open took 12.9 s in place of 8, since its
    last texts began anew. Over 20 days that end with such a loss, each played
    with and without, it is worth 0.04 of what a day may earn, and costs 0.0006
    of it in calls. What is kept is a saving and no promise: a text that is
    missing, or stale, is generated from where it was.
    """

    def __init__(
        self,
        duty: Duty,
        progress: ProgressStore,
        open_texts: Callable[[], Iterable[PartialText]],
        pause: Callable[[float], defer.Deferred[None]],
        clock: Any,
    ) -> None:
        self._duty = duty
        self._progress = progress
        self._open_texts = open_texts
        self._pause = pause
        self._clock = clock
        self._copied = text_copies.CopiedTexts()
        # The record in which a text stands with its first events.
        self._begun_by_item: dict[ItemId, int] = {}
        self._writing: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Begin to write."""
        self._writing = defer.Deferred.fromCoroutine(self._follow())
        self._writing.addErrback(self._failed)

    def stop(self) -> None:
        """Write nothing more."""
        if self._writing is not None:
            self._writing.cancel()

    async def _follow(self) -> None:
        while True:
            await task.deferLater(self._clock, WRITE_SECONDS)
            if not self._duty.is_held():
                continue
            changes = self._changes()
            if not changes:
                continue
            try:
                await self._progress.write(changes, self._duty)
            except store_module.StoreConflict:
                log.info('Texts not kept: the duty is lost.')
                continue
            except (
                store_module.StoreRefused,
                store_module.StoreUnclear,
            ) as error:
                log.info('Texts not kept.', cause=str(error))
                await self._pause(WRITE_SECONDS)
                continue
            self._note(changes)

    def _changes(self) -> tuple[text_copies.TextChange, ...]:
        texts = [t for t in self._open_texts() if len(t.parts) >= MIN_EVENTS]
        number = self._progress.number
        for item, begun in list(self._begun_by_item.items()):
            if number + 1 - begun >= SLOTS:
                self._copied.forget(item)
        texts.sort(key=lambda text: len(text.parts), reverse=True)
        return text_copies.limit_size(self._copied.changes(texts), MAX_SIZE)

    def _note(self, changes: tuple[text_copies.TextChange, ...]) -> None:
        for change in changes:
            self._copied.record_change(change)
            if not change.first:
                item = change.text.item
                self._begun_by_item[item] = self._progress.number
        oldest = self._progress.number - SLOTS
        for item, begun in list(self._begun_by_item.items()):
            if begun <= oldest:
                del self._begun_by_item[item]

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Writer failed.', cause=failure.getTraceback())


def _put_together(records: list[ProgressRecord]) -> list[PartialText]:
    texts_by_item: dict[ItemId, PartialText] = {}
    for record in sorted(records, key=lambda each: (each.epoch, each.number)):
        for change in record.changes:
            item = change.text.item
            text = text_copies.apply_change(texts_by_item.get(item), change)
            if text is not None:
                texts_by_item[item] = text
    return list(texts_by_item.values())


def _decoded(entry: store_module.Entry) -> list[ProgressRecord]:
    try:
        return [msgspec.msgpack.decode(entry.value, type=ProgressRecord)]
    except msgspec.MsgspecError as error:
        log.error('Record left out.', key=entry.key, cause=str(error))
        return []
