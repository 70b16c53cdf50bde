"""Leave the other instances without losing what is under way."""

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
    from yuccarill.daemon.gateway.jobs.texts import TextDepot
    from yuccarill.daemon.gateway.jobs.texts import TextSender

log = logs.for_part('departure')

# Seconds before the others are told again, where the store did not answer.
RETRY_SECONDS = 0.3


class Departure:
    """Tell the others of a planned stop, and hand the work on."""

    def __init__(
        self,
        session: Session,
        duties_by_service: Mapping[ServiceName, Duty],
        runners_by_service: Mapping[ServiceName, Runner],
        depot: TextDepot,
        sender: TextSender,
        clock: Any,
        other_duties: Sequence[Duty] = (),
    ) -> None:
        self._session = session
        # Duties without texts.
        self._other_duties = other_duties
        self._duties_by_service = duties_by_service
        self._runners_by_service = runners_by_service
        self._depot = depot
        self._sender = sender
        self._clock = clock

    async def leave(self) -> None:
        """Leave the directory, then give back what is held here.

        Tries again until the store has it, so the caller cancels it when no
        time is left. A holder that gave up at the first try kept its duty
        until its process ended; the next one had to wait for the lease too.
        """
        await self._announce()
        # Whoever takes a duty looks for its texts at once.
        await self.hand_on()
        await defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(duty.release())
                for duty in (
                    *self._duties_by_service.values(),
                    *self._other_duties,
                )
            ]
        )

    async def hand_on(self) -> None:
        """Hand unfinished texts on, those kept for somebody else too."""
        for service in list(self._duties_by_service):
            running = self._runners_by_service.get(service)
            if running is None:
                texts = self._depot.take(service)
            else:
                texts = running.left_texts()
            await self._sender.hand_on(service, texts)

    async def _announce(self) -> None:
        while True:
            try:
                await self._session.leave()
                return
            except (
                store_module.StoreRefused,
                store_module.StoreUnclear,
                store_module.StoreConflict,
                store_module.LeaseEnded,
            ) as error:
                log.warning('Not told the others.', cause=str(error))
                await task.deferLater(self._clock, RETRY_SECONDS)
