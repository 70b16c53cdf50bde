"""Decide once into how many parts a service is divided."""

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

# Delay per rank among the candidates, so that usually only one writes.
RANK_SECONDS = 0.3
RETRY_SECONDS = 1.0


class Division:
    """Write the division of a service to the store, at most once.

    The entry is immutable: with two divisions in use, two holders would send
    orders to one engine. Instances contend for a part only after this write.
    """

    def __init__(
        self,
        state: GatewayState,
        store: Store,
        on_due: Callable[[], None],
        clock: Any,
    ) -> None:
        self._state = state
        self._store = store
        # Called when a decision is due; calls decide() again.
        self._on_due = on_due
        self._clock = clock
        # Number of ready engines, and the time when the number last changed.
        self._counts_by_service: dict[ServiceName, tuple[int, float]] = {}
        self._timer: Any = None
        self._writing: set[ServiceName] = set()

    def decide(self, service: Service) -> None:
        """Write the division once the number of engines is stable."""
        if not self._state.is_current:
            return
        engine_count = len(self._state.targets.ready(service.name))
        now = self._clock.seconds()
        count, since = self._counts_by_service.get(service.name, (0, now))
        if engine_count != count:
            since = now
        self._counts_by_service[service.name] = (engine_count, since)
        rank = self._rank(service.name)
        settling = partitions.settle_seconds(engine_count)
        remaining = since + settling + RANK_SECONDS * rank - now
        if engine_count == 0:
            return
        if remaining > 0.0:
            self._schedule_decision(remaining)
        elif service.name not in self._writing:
            division = partitions.division_for(engine_count)
            self._write(service.name, division, engine_count)

    def _rank(self, service: ServiceName) -> int:
        ordered = candidates.ordered(self._state.cores_by_name(), service)
        return ordered.index(self._state.settings.instance)

    def _schedule_decision(self, seconds: float) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._clock.callLater(seconds, self._on_due)

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
            self._write_failed,
        )
        writing.addBoth(self._write_ended, service)

    def _write_ended(self, _: object, service: ServiceName) -> None:
        self._writing.discard(service)
        self._schedule_decision(RETRY_SECONDS)

    def _write_failed(self, failure: Any) -> None:
        # Another instance wrote the division, or the store is unavailable.
        if failure.check(
            store_module.StoreConflict,
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
        ):
            log.info('Division was not written.', cause=str(failure.value))
            return
        log.error(
            'Unexpected error in a division.', cause=failure.getTraceback()
        )
