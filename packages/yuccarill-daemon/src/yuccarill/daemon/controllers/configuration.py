"""Follow the configuration's head and apply operators' changes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
import uuid

from twisted.internet import reactor
from twisted.internet import task

from yuccarill.core.config import head as head_module
from yuccarill.core.config import reader
from yuccarill.core.config import snapshot
from yuccarill.core import errors
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.head import Head
    from yuccarill.daemon.adapters.key_value import Entry
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter

log = logs.for_part('config')

RETRY_SECONDS = 0.5


class ConfigurationController:
    """Keep the blackboard's head the newest that was seen."""

    def __init__(
        self, blackboard: Blackboard, key_value: KeyValueAdapter
    ) -> None:
        self._blackboard = blackboard
        self._key_value = key_value

    async def follow(self) -> None:
        """Watch the head until the process ends."""
        version = 0
        while True:
            try:
                entry = await self._key_value.watch(
                    head_module.HEAD_KEY, version
                )
            except errors.StoreUnavailable as error:
                log.warning('Head not read.', cause=error.message)
                await task.deferLater(reactor, RETRY_SECONDS, lambda: None)
                continue
            version = entry.version
            if not entry.is_absent:
                self.offer(head_module.decode(entry.value))

    def offer(self, offered: Head) -> None:
        """Take a head unless a newer one is known."""
        current = self._blackboard.head
        if current is None or offered.revision > current.revision:
            self._blackboard.head = snapshot.Snapshot(
                offered, offered.inventory
            )
            log.info('Revision in force.', revision=offered.revision)

    async def apply(
        self, author: str, base: Revision, document: object
    ) -> Head:
        """Check a document and make it the next revision.

        Raises InventoryInvalid, RevisionConflict, StoreUnavailable or
        ApplyOutcomeUnknown.
        """
        inventory = reader.from_plain(document)
        entry = await self._key_value.get(head_module.HEAD_KEY)
        standing = _decode(entry)
        revision = standing.revision if standing else Revision(0)
        if base != revision:
            raise _conflict(base, standing)
        new = head_module.Head(
            revision=Revision(revision + 1),
            change_id=ChangeId(uuid.uuid4().hex),
            author=author,
            applied_at=WallTime(time.time()),
            inventory=inventory,
        )
        try:
            await self._key_value.swap(
                head_module.HEAD_KEY, head_module.encode(new), entry.version
            )
        except errors.StoreConflict as error:
            standing = _decode(await self._key_value.get(head_module.HEAD_KEY))
            raise _conflict(base, standing) from error
        except errors.StoreUnavailable as error:
            await self._settle(new, error)
        self.offer(new)
        return new

    async def _settle(self, new: Head, cause: Exception) -> None:
        # The write may have taken effect although its reply was lost. The
        # operator would apply it again and be told of a conflict with
        # itself; the change id in the head tells which of the two it was.
        try:
            entry = await self._key_value.get(head_module.HEAD_KEY)
        except errors.StoreUnavailable as error:
            raise errors.ApplyOutcomeUnknown(
                f'Change {new.change_id} may stand as revision '
                f'{new.revision}; look with "yuccarill show".'
            ) from error
        standing = _decode(entry)
        if standing is None or standing.change_id != new.change_id:
            raise cause


def _decode(entry: Entry) -> Head | None:
    return None if entry.is_absent else head_module.decode(entry.value)


def _conflict(base: Revision, standing: Head | None) -> Exception:
    if standing is None:
        text = 'No revision stands yet; apply from revision 0.'
    else:
        text = (
            f'Revision {standing.revision} by {standing.author} stands, this '
            f'change is from revision {base}; see "yuccarill diff".'
        )
    return errors.RevisionConflict(text)
