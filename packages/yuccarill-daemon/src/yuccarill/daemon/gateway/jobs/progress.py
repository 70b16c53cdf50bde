"""Save unfinished long texts in the store, in case all instances stop."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core import decoding
from yuccarill.core.jobs import text_copies
from yuccarill.daemon.gateway import background
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

# Interval of writes; bounds how much text a failure of all instances loses.
WRITE_SECONDS = 1.0
# Shorter texts are not saved; an engine makes about as many events during one
# write interval.
MIN_EVENTS = 24
# Maximum characters of text in one write, so that a record fits a value of
# the store. The longest texts go first.
MAX_SIZE = 400_000
# Size of the ring of records. A text whose first record is about to be
# overwritten is written in full again.
SLOTS = 16


class ProgressRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the changes of texts since the previous record."""

    # Revision of the duty, and sequence number of the record under the duty.
    epoch: int
    number: int
    changes: tuple[text_copies.TextChange, ...]


class ProgressStore:
    """Write and read the ring of progress records of one service."""

    def __init__(self, service: ServiceName, store: Store) -> None:
        self._service = service
        self._store = store
        self.number = 0

    async def write(
        self, changes: tuple[text_copies.TextChange, ...], duty: Duty
    ) -> None:
        """Overwrite the oldest record, under a duty.

        Raises StoreRefused, StoreOutcomeUnknown, or StoreConflict if another
        instance holds the duty, so that records of two holders never mix.
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
        """Return the texts whose first events are still in the records."""
        try:
            records = await self._records()
        except (
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
        ) as error:
            # The engines then generate the texts from the start.
            log.warning('Reading saved texts failed.', cause=str(error))
            return []
        texts = _merge_records(records)
        log.info(
            'Texts read from the store.',
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
                records += _decode(entry)
            has_more = page.has_more
        return records


class ProgressWriter:
    """Periodically write the changes of a runner's long texts.

    Guards against the loss of all instances, and so of all copies in memory.
    Records are best effort: engines generate again what is missing.
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
        self._written = text_copies.CopiedTexts()
        # Number of the record that has the first events of a text.
        self._first_record_by_item: dict[ItemId, int] = {}
        self._writing: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Start the periodic writes."""
        self._writing = defer.Deferred.fromCoroutine(
            background.keep_running(
                self._keep_writing, 'saving of texts', self._clock
            )
        )
        self._writing.addErrback(self._log_failure)

    def stop(self) -> None:
        """Cancel the periodic writes."""
        if self._writing is not None:
            self._writing.cancel()

    async def _keep_writing(self) -> None:
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
                log.info('Texts not saved: the duty is lost.')
                continue
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ) as error:
                log.info('Saving texts in the store failed.', cause=str(error))
                await self._pause(WRITE_SECONDS)
                continue
            self._record(changes)

    def _changes(self) -> tuple[text_copies.TextChange, ...]:
        texts = [t for t in self._open_texts() if len(t.parts) >= MIN_EVENTS]
        number = self._progress.number
        for item, first_record in list(self._first_record_by_item.items()):
            if number + 1 - first_record >= SLOTS:
                self._written.forget(item)
        texts.sort(key=lambda text: len(text.parts), reverse=True)
        return text_copies.limit_size(self._written.changes(texts), MAX_SIZE)

    def _record(self, changes: tuple[text_copies.TextChange, ...]) -> None:
        for change in changes:
            self._written.record_change(change)
            if not change.first:
                item = change.text.item
                self._first_record_by_item[item] = self._progress.number
        oldest = self._progress.number - SLOTS
        for item, first_record in list(self._first_record_by_item.items()):
            if first_record <= oldest:
                del self._first_record_by_item[item]

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Saving texts stopped.', cause=failure.getTraceback())


def _merge_records(records: list[ProgressRecord]) -> list[PartialText]:
    texts_by_item: dict[ItemId, PartialText] = {}
    for record in sorted(records, key=lambda each: (each.epoch, each.number)):
        for change in record.changes:
            item = change.text.item
            text = text_copies.apply_change(texts_by_item.get(item), change)
            if text is not None:
                texts_by_item[item] = text
    return list(texts_by_item.values())


def _decode(entry: store_module.Entry) -> list[ProgressRecord]:
    try:
        return [decoding.from_msgpack(entry.value, ProgressRecord)]
    except msgspec.MsgspecError as error:
        log.error('Invalid text record.', key=entry.key, cause=str(error))
        return []
