"""Copy unfinished texts to the instance that would take over the duty."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.jobs import text_copies
from yuccarill.daemon.gateway import background
from yuccarill.daemon.gateway.jobs import texts
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.partial_text import PartialText
    from yuccarill.daemon.gateway.jobs.texts import TextSender

log = logs.for_part('standby')

# Interval of copies; bounds how much generated text a power loss loses.
# Without copies, a power loss took up to 5 s of each text.
COPY_SECONDS = 0.5


class TextCopier:
    """Periodically send the changes of a runner's texts to the next candidate.

    Copies are best effort: without a copy, texts are generated again.
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
        # The text changes that the peer has acknowledged.
        self._acknowledged = text_copies.CopiedTexts()
        self._copying: defer.Deferred[None] | None = None
        self._ticker = background.ticker(self._tick, 'text copies', clock)

    def start(self) -> None:
        """Start the periodic copies."""
        self._ticker.start(COPY_SECONDS, now=False)

    def stop(self) -> None:
        """Cancel the periodic copies."""
        if self._ticker.running:
            self._ticker.stop()
        if self._copying is not None:
            self._copying.cancel()

    def _tick(self) -> None:
        if self._copying is not None:
            return
        self._copying = defer.Deferred.fromCoroutine(self._copy())
        self._copying.addErrback(self._log_failure)
        self._copying.addBoth(self._finish_copy)

    async def _copy(self) -> None:
        peers = self._sender.receivers(self._service)
        if not peers:
            return
        peer = peers[0]
        if peer.instance != self._peer:
            self._peer = peer.instance
            self._acknowledged.clear()
        changes = self._acknowledged.changes(self._open_texts())
        if not changes:
            return
        try:
            sent = await self._sender.send(peer, self._service, changes)
        except texts.SendFailed as error:
            # The peer's state is unknown, so all texts are sent in full again.
            self._acknowledged.clear()
            log.info('Text copying failed.', peer=self._peer, cause=str(error))
            return
        for change in sent:
            self._acknowledged.record_change(change)

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Text copier failed.', cause=failure.getTraceback())

    def _finish_copy(self, _: object) -> None:
        self._copying = None
