"""Shut this instance down without losing partial texts."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.gateway.duty.duties import Duty
    from yuccarill.daemon.gateway.duty.session import Session
    from yuccarill.daemon.gateway.jobs.runner import Runner
    from yuccarill.daemon.gateway.jobs.texts import TextCopyStore
    from yuccarill.daemon.gateway.jobs.texts import TextSender

log = logs.for_part('departure')

# Seconds between attempts to announce the shutdown in the store.
RETRY_SECONDS = 0.3


class GracefulShutdown:
    """Announce a planned shutdown and hand over duties and texts."""

    def __init__(
        self,
        session: Session,
        duties_by_service: Mapping[ServiceName, Duty],
        runners_by_service: Mapping[ServiceName, Runner],
        depot: TextCopyStore,
        sender: TextSender,
        clock: Any,
        other_duties: Sequence[Duty] = (),
    ) -> None:
        self._session = session
        # Duties that have no partial texts to hand over.
        self._other_duties = other_duties
        self._duties_by_service = duties_by_service
        self._runners_by_service = runners_by_service
        self._depot = depot
        self._sender = sender
        self._clock = clock

    async def leave(self) -> None:
        """Announce the shutdown, hand over the texts and release all duties.

        Retries until the store accepts, since a duty that is not released
        blocks its successor until the lease expires. The caller cancels this
        call at the shutdown deadline.
        """
        await self._announce()
        # A new holder fetches the texts as soon as it acquires a duty.
        await self.hand_over_texts()
        await defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(duty.release())
                for duty in (
                    *self._duties_by_service.values(),
                    *self._other_duties,
                )
            ]
        )

    async def hand_over_texts(self) -> None:
        """Hand over partial texts, including those kept for another holder."""
        for service in list(self._duties_by_service):
            runner = self._runners_by_service.get(service)
            if runner is None:
                texts = self._depot.remove_texts(service)
            else:
                texts = runner.unlisted_texts()
            await self._sender.hand_over(service, texts)

    async def _announce(self) -> None:
        while True:
            try:
                await self._session.leave()
                return
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
                store_module.StoreConflict,
                store_module.LeaseEnded,
            ) as error:
                log.warning('Shutdown was not announced.', cause=str(error))
                await task.deferLater(self._clock, RETRY_SECONDS)
