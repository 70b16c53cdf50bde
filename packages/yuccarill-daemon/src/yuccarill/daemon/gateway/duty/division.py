"""Decide once among how many holders a service is divided."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.gateway import candidates
from yuccarill.core.gateway import partitions
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.gateway.partitions import Division as PartDivision
    from yuccarill.core.gateway.routes import Service
    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.store import Store

log = logs.for_part('duty')

# Seconds that each further candidate waits for the ones before it.
RANK_SECONDS = 0.3
# Seconds before a division that was not written is tried again.
RETRY_SECONDS = 1.0


class Division:
    """Write what all go by before anybody holds a part.

    It never changes while the fleet lives: with two divisions at a time, two
    holders would order one engine. Without it, nobody contends.
    """

    def __init__(
        self,
        state: GatewayState,
        store: Store,
        on_time: Callable[[], None],
        clock: Any,
    ) -> None:
        self._state = state
        self._store = store
        # Called when it is time to look again.
        self._on_time = on_time
        self._clock = clock
        # Engines as they were counted, and since when they are so many.
        self._counts_by_service: dict[ServiceName, tuple[int, float]] = {}
        self._timer: Any = None
        self._writing: set[ServiceName] = set()

    def decide(self, service: Service) -> None:
        """Decide on a service once its engines are listed."""
        if not self._state.is_current:
            return
        found = len(self._state.targets.ready(service.name))
        now = self._clock.seconds()
        count, since = self._counts_by_service.get(service.name, (0, now))
        if found != count:
            since = now
        self._counts_by_service[service.name] = (found, since)
        rank = self._rank(service.name)
        settled = partitions.settle_seconds(found)
        left = since + settled + RANK_SECONDS * rank - now
        if found == 0:
            return
        if left > 0.0:
            self._look_again(left)
        elif service.name not in self._writing:
            division = partitions.division_for(found)
            self._write(service.name, division, found)

    def _rank(self, service: ServiceName) -> int:
        ordered = candidates.ordered(self._state.cores_by_name(), service)
        return ordered.index(self._state.settings.instance)

    def _look_again(self, seconds: float) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._clock.callLater(seconds, self._on_time)

    def _write(
        self, service: ServiceName, division: PartDivision, engines: int
    ) -> None:
        self._writing.add(service)
        key = keys.partitions(service)
        writing = defer.Deferred.fromCoroutine(
            self._store.transact(
                expected=[
                    store_module.Expectation(
                        key=key, revision=store_module.ABSENT
                    )
                ],
                writes=[
                    store_module.Write(
                        key=key, value=partitions.encode(division)
                    )
                ],
            )
        )
        writing.addCallbacks(
            lambda _: log.info(
                'Service divided.',
                service=service,
                parts=division.parts,
                engines=engines,
            ),
            self._failed,
        )
        writing.addBoth(self._ended, service)

    def _ended(self, _: object, service: ServiceName) -> None:
        self._writing.discard(service)
        self._look_again(RETRY_SECONDS)

    def _failed(self, failure: Any) -> None:
        # Another one decided, or the store is away: the entry will tell.
        failure.trap(
            store_module.StoreConflict,
            store_module.StoreRefused,
            store_module.StoreUnclear,
        )
        log.info('Division not written.', cause=str(failure.value))
