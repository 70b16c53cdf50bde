"""Compete for the duty of each service, and run its jobs while held."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.gateway import partitions
from yuccarill.daemon.gateway.duty import division
from yuccarill.daemon.gateway.duty import duties
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon.gateway.jobs import progress
from yuccarill.daemon.gateway.jobs import runner
from yuccarill.daemon.gateway.jobs import scoring
from yuccarill.daemon.gateway.jobs import text_copier
from yuccarill.daemon.gateway.standby import copier

if TYPE_CHECKING:
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.partial_text import PartialText
    from yuccarill.core.speeds.estimate import SpeedRecord
    from yuccarill.daemon.gateway.duty.holder_calls import HolderCalls
    from yuccarill.daemon.gateway.jobs.job_store import JobStore
    from yuccarill.daemon.gateway.jobs.text_fetch import TextFetcher
    from yuccarill.daemon.gateway.jobs.texts import TextCopyStore
    from yuccarill.daemon.gateway.jobs.texts import TextSender
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.quarantine.watched_calls import WatchedCalls
    from yuccarill.daemon.gateway.requests.sender import Sender
    from yuccarill.daemon.gateway.scaling.parts import ScalerFactory
    from yuccarill.daemon.gateway.scaling.scaler import Scaler
    from yuccarill.daemon.gateway.standby.service import StandbyService
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.engines import Engines
    from yuccarill.platform.store import Store


class ServiceRunners:
    """Manage duties, runners and copies for the services of engines."""

    def __init__(
        self,
        state: GatewayState,
        store: Store,
        jobs: JobStore,
        calls: WatchedCalls,
        guard: ContentGuard,
        sender: Sender,
        engines: Engines,
        depot: TextCopyStore,
        text_sender: TextSender,
        text_fetcher: TextFetcher,
        standbys: StandbyService,
        peers: PeerCalls,
        holders: HolderCalls,
        scaling: ScalerFactory,
        clock: Any,
    ) -> None:
        self._state = state
        self._store = store
        self._jobs = jobs
        self._calls = calls
        self._guard = guard
        self._sender = sender
        self._engines = engines
        self._depot = depot
        self._text_sender = text_sender
        self._text_fetcher = text_fetcher
        text_sender.speeds_of = self._speed_records
        self._standbys = standbys
        self._peers = peers
        self._holders = holders
        self._scaling = scaling
        self._clock = clock
        self._division = division.Division(state, store, self.update, clock)
        self.duties_by_service: dict[ServiceName, duties.Duty] = {}
        self.runners_by_service: dict[ServiceName, runner.Runner] = {}
        self._text_copies_by_service: dict[
            ServiceName, text_copier.TextCopier
        ] = {}
        self._job_copiers_by_service: dict[ServiceName, copier.JobCopier] = {}
        self._writers_by_service: dict[
            ServiceName, progress.ProgressWriter
        ] = {}
        self._scalers_by_service: dict[ServiceName, Scaler] = {}

    def update(self) -> None:
        """Update duties and runners after a change of the known state."""
        table = self._state.route_table
        services = {} if table is None else table.services_by_name
        for service in services.values():
            if service.engine is None:
                continue
            found = self._state.divisions_by_service.get(service.name)
            if found is None:
                self._division.decide(service)
                continue
            for part in partitions.part_names(service.name, found.parts):
                if part not in self.duties_by_service:
                    self._add_duty(part)
        for duty in list(self.duties_by_service.values()):
            duty.update()
        for name, running in list(self.runners_by_service.items()):
            if self.duties_by_service[name].is_held_elsewhere:
                self._stop_runner(name)
            else:
                running.request_update()

    def resume(self) -> None:
        """Let all runners read again after a gap in the watches."""
        for running in list(self.runners_by_service.values()):
            running.resume()

    def _add_duty(self, service: ServiceName) -> None:
        self.duties_by_service[service] = duties.Duty(
            service,
            self._state,
            self._store,
            functools.partial(self._duty_changed, service),
            self._clock,
            holders=self._holders,
        )

    def _duty_changed(self, service: ServiceName) -> None:
        duty = self.duties_by_service[service]
        old_runner = self.runners_by_service.get(service)
        if duty.held_lease is None:
            # Runs continue: a lease that expired while the store was
            # unavailable usually returns to this instance.
            if old_runner is not None and self._state.is_leaving:
                self._stop_runner(service)
            return
        if old_runner is not None and duty.is_reacquired:
            old_runner.resume()
            return
        self._stop_runner(service)
        self._start_runner(service, duty)

    def _start_runner(self, service: ServiceName, duty: duties.Duty) -> None:
        # Stopping the standby puts the standby's texts into the depot.
        self._standbys.stop(service)
        records = progress.ProgressStore(service, self._store)
        new_runner = runner.Runner(
            self._state,
            duty,
            self._store,
            self._jobs,
            generation.Generator(self._calls, self._clock),
            self._guard,
            scoring.Scorer(
                self._state, self._sender, self._guard, self._clock
            ),
            self._engines,
            self._clock,
            defer.Deferred.fromCoroutine(self._previous_texts(duty, records)),
            functools.partial(self._depot.take_speeds, service),
        )
        self.runners_by_service[service] = new_runner
        new_runner.start()
        text_copy = text_copier.TextCopier(
            service, new_runner.open_texts, self._text_sender, self._clock
        )
        self._text_copies_by_service[service] = text_copy
        text_copy.start()
        job_copier = copier.JobCopier(
            service,
            self._state,
            new_runner.open_jobs,
            self._text_sender,
            self._peers,
            duty.record_standby,
            self._clock,
        )
        self._job_copiers_by_service[service] = job_copier
        job_copier.start()
        writer = progress.ProgressWriter(
            duty,
            records,
            new_runner.open_texts,
            self._store.pause,
            self._clock,
        )
        self._writers_by_service[service] = writer
        writer.start()
        scaler = self._scaling.scaler(duty, new_runner.count_load)
        if scaler is not None:
            self._scalers_by_service[service] = scaler
            scaler.start()

    def _speed_records(self, service: ServiceName) -> list[SpeedRecord]:
        running = self.runners_by_service.get(service)
        return [] if running is None else running.speed_records()

    async def _previous_texts(
        self, duty: duties.Duty, records: progress.ProgressStore
    ) -> list[PartialText]:
        found = self._depot.remove_texts(duty.service)
        if found:
            return found
        return await self._text_fetcher.newest(
            duty.service, duty.last_standby_address, records.read
        )

    def _stop_runner(self, service: ServiceName) -> None:
        old_runner = self.runners_by_service.pop(service, None)
        if old_runner is not None:
            old_runner.stop()
            self._text_copies_by_service.pop(service).stop()
            self._job_copiers_by_service.pop(service).stop()
            self._writers_by_service.pop(service).stop()
            scaler = self._scalers_by_service.pop(service, None)
            if scaler is not None:
                scaler.stop()
