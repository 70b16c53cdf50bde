"""Keep a copy of texts under way where they would go on."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.jobs import text_copies
from yuccarill.daemon.gateway.jobs import texts
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.partial_text import PartialText
    from yuccarill.daemon.gateway.jobs.texts import TextSender

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
        open_texts: Callable[[], Iterable[PartialText]],
        sender: TextSender,
        clock: Any,
    ) -> None:
        self._service = service
        self._open_texts = open_texts
        self._sender = sender
        self._peer = ''
        # What the peer has, by its answers.
        self._copied = text_copies.CopiedTexts()
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
            self._copied.clear()
        new = self._copied.changes(self._open_texts())
        if not new:
            return
        try:
            sent = await self._sender.send(peer, self._service, new)
        except texts.NotTaken as error:
            # It may have some of them: all are sent as a whole again.
            self._copied.clear()
            log.info('Texts not copied.', peer=self._peer, cause=str(error))
            return
        for change in sent:
            self._copied.record_change(change)

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Copy failed.', cause=failure.getTraceback())

    def _ended(self, _: object) -> None:
        self._copying = None
