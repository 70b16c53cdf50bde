"""Keep a copy of texts under way where they would go on."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.daemon.gateway import texts
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.left_text import LeftText
    from yuccarill.daemon.gateway.texts import TextSender

log = logs.for_part('standby')

# Seconds between two copies. A machine that loses power takes the texts of
# its runs along, up to 5 s of each; with a copy at most this much.
COPY_SECONDS = 0.5


class StandbyCopy:
    """Send what is new of a runner's texts to the next candidate.

    A copy is of use once, and is not needed for any promise: without it the
    texts are generated anew.
    """

    def __init__(
        self,
        service: ServiceName,
        open_texts: Callable[[], Iterable[LeftText]],
        sender: TextSender,
        clock: Any,
    ) -> None:
        self._service = service
        self._open_texts = open_texts
        self._sender = sender
        self._peer = ''
        # What the peer has, by its answers.
        self._copied_by_item: dict[ItemId, LeftText] = {}
        self._copying: defer.Deferred[None] | None = None
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = clock

    def start(self) -> None:
        """Begin to send copies."""
        self._ticker.start(COPY_SECONDS, now=False)

    def stop(self) -> None:
        """Send nothing more."""
        if self._ticker.running:
            self._ticker.stop()
        if self._copying is not None:
            self._copying.cancel()

    def _tick(self) -> None:
        if self._copying is not None:
            return
        self._copying = defer.Deferred.fromCoroutine(self._copy())
        self._copying.addErrback(self._failed)
        self._copying.addBoth(self._ended)

    async def _copy(self) -> None:
        peers = self._sender.receivers(self._service)
        if not peers:
            return
        peer = peers[0]
        if peer.instance != self._peer:
            self._peer = peer.instance
            self._copied_by_item.clear()
        found = {text.item: text for text in self._open_texts()}
        for item in self._copied_by_item.keys() - found.keys():
            del self._copied_by_item[item]
        new = [
            self._new(text)
            for text in found.values()
            if self._copied_by_item.get(text.item) != text
        ]
        if not new:
            return
        try:
            sent = await self._sender.send(peer, self._service, new)
        except texts.NotTaken as error:
            # It may have some of them: all are sent as a whole again.
            self._copied_by_item.clear()
            log.info('Texts not copied.', peer=self._peer, cause=str(error))
            return
        for handed in sent:
            item = handed.text.item
            self._copied_by_item[item] = found[item]

    def _new(self, text: LeftText) -> texts.HandedText:
        known = self._copied_by_item.get(text.item)
        first = 0 if known is None else len(known.parts)
        if known is None or text.parts[:first] != known.parts:
            # A text that was begun anew shares no part with the copy.
            return texts.HandedText(text=text)
        rest = msgspec.structs.replace(text, parts=text.parts[first:])
        return texts.HandedText(text=rest, first=first)

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Copy failed.', cause=failure.getTraceback())

    def _ended(self, _: object) -> None:
        self._copying = None
