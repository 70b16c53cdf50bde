"""Assemble and run one gateway instance."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.gateway import stop_window
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import connections
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.accounts import admission
from yuccarill.daemon.gateway.accounts import lookup
from yuccarill.daemon.gateway import background
from yuccarill.daemon.gateway.capacity import control
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.duty import graceful_shutdown
from yuccarill.daemon.gateway.duty import holder_calls
from yuccarill.daemon.gateway.duty import session
from yuccarill.daemon.gateway.flow import buffers
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon.gateway.jobs import intake
from yuccarill.daemon.gateway.jobs import job_store
from yuccarill.daemon.gateway.jobs import scoring
from yuccarill.daemon.gateway.jobs import service_work
from yuccarill.daemon.gateway.jobs import text_fetch
from yuccarill.daemon.gateway.jobs import texts
from yuccarill.daemon.gateway.jobs import trainers
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway import options as options_module
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.quarantine import parts
from yuccarill.daemon.gateway.requests import forwarding
from yuccarill.daemon.gateway.requests import front
from yuccarill.daemon.gateway.requests import pools
from yuccarill.daemon.gateway.requests import relay
from yuccarill.daemon.gateway.requests import sender
from yuccarill.daemon.gateway.requests import streams
from yuccarill.daemon.gateway.requests import usage_sink
from yuccarill.daemon.gateway.scaling import parts as scaling_parts
from yuccarill.daemon.gateway.standby import service as standby_service
from yuccarill.daemon.gateway.standby import standby_runner
from yuccarill.daemon.gateway.standby import witness
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon.gateway.store import feed
from yuccarill.daemon.gateway.store import observer
from yuccarill.daemon.gateway.store import store_router
from yuccarill.daemon.gateway.usage import parts as usage_parts
from yuccarill.daemon import logs
from yuccarill.platform import calls as calls_module
from yuccarill.platform import checks
from yuccarill.platform import engines
from yuccarill.platform import server
from yuccarill.platform import settings_file
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    import pathlib

    from yuccarill.core.ids import ServiceName
    from yuccarill.platform.settings_file import InstanceSettings

log = logs.for_part('instance')

METRICS_PORT = 9464
# Seconds before the platform's kill: when a stopping instance closes idle
# connections, and when it stops waiting for requests.
CLOSE_BEFORE_KILL = 1.8
END_BEFORE_KILL = 0.7
# Seconds by which an answer may be later than its request's time limit.
ANSWER_SLACK = 0.3
# Timeout for revoking the lease, short enough to end before the platform kills
# the process; an unrevoked lease expires. With a store that falls silent, the
# call and its retries through peers took 1.8 s.
END_CALL_SECONDS = 0.4
# Interval of checks for requests in flight during a stop.
STOP_STEP = 0.05


class GatewayProcess:
    """Run one gateway instance until it is stopped."""

    def __init__(
        self,
        settings: InstanceSettings,
        settings_path: pathlib.Path,
        clock: Any = default_reactor,
        options: options_module.Options = options_module.Options(),
    ) -> None:
        self._path = settings_path
        self._clock = clock
        self._state = state_module.GatewayState(
            settings, placement=options.placement
        )
        links = connections.Connections(clock, _count_connection)
        self._store_router = store_router.StoreRouter(
            self._state, links, clock
        )
        self._store = store_module.Store(
            self._store_router, settings.store_address
        )
        background = store_module.Store(
            store_router.BackgroundStoreRouter(self._store_router),
            settings.store_address,
        )
        self._quarantine = parts.QuarantineParts(
            self._state,
            calls_module.Calls(links, self._now),
            self._store,
            links,
            clock,
        )
        self._calls = self._quarantine.calls
        self._observer = observer.Observer(
            self._state,
            lambda: feed.FeedSource(self._state, background, links, clock),
            clock,
        )
        self._feed_server = feed.FeedServer(self._observer.followers_by_prefix)
        self._session = session.Session(
            self._state, background, self._update, clock
        )
        peers = peer_call.PeerCalls(links, clock)
        self._capacity: control.CapacityControl | None = None
        if options.capacity is options_module.CapacityMode.SHARED:
            self._capacity = control.CapacityControl(self._state, peers, clock)
        capacity_port = self._capacity or port.NO_CAPACITY
        self._sender = sender.Sender(
            pools.Pools(self._state),
            self._calls,
            self._quarantine.guard,
            clock,
            capacity_port,
        )
        jobs = job_store.JobStore(self._store, clock)
        self._holder_calls = holder_calls.HolderCalls(self._state, peers)
        self._text_depot = texts.TextCopyStore(clock)
        text_sender = texts.TextSender(self._state, links, clock)
        text_fetcher = text_fetch.TextFetcher(self._state, links, clock)
        self._standbys = standby_service.StandbyService(
            self._state,
            self._observer.min_age,
            self._text_depot,
            witness.Witnesses(self._state, peers, self._observer.min_age),
            self._standby_runner,
            self._holder_calls.request_reclaim,
            self._store_router.probe_now,
            clock,
        )
        self._work = service_work.ServiceRunners(
            self._state,
            self._store,
            jobs,
            self._calls,
            self._quarantine.guard,
            self._sender,
            engines.Engines(links),
            self._text_depot,
            text_sender,
            text_fetcher,
            self._standbys,
            peers,
            self._holder_calls,
            scaling_parts.ScalerFactory(
                options.target_orders, self._state, links, clock
            ),
            clock,
        )
        call_relay = relay.Relay(self._state, links, clock)
        job_intake = intake.Intake(
            self._state, jobs, call_relay, self._work.runners_by_service, clock
        )
        trainer_call_handler = trainers.TrainerCallHandler(
            job_intake, call_relay, self._work.runners_by_service.values
        )
        self._usage: usage_parts.UsageParts | None = None
        if settings.usage is not None:
            self._usage = usage_parts.UsageParts(
                settings.usage,
                self._state,
                self._store,
                links,
                self._holder_calls,
                clock,
            )
        usage_counter = self._usage or usage_sink.NoUsage()
        account_admission = admission.AccountAdmission(
            self._state,
            lookup.ConfigurationLookup(
                self._state,
                self._store,
                self._observer.apply_configuration,
                clock,
            ),
            self._observer.configuration_age,
            clock,
        )
        forwarder = forwarding.Forwarder(
            self._state,
            self._sender,
            self._calls,
            streams.StreamForwarder(
                self._state,
                self._sender,
                self._calls,
                usage_counter,
                clock,
                capacity_port,
            ),
            job_intake,
            account_admission,
            usage_counter,
            clock,
            capacity_port,
        )
        self._front = front.Front(
            self._state,
            forwarder,
            trainer_call_handler,
            account_admission,
            self._observer.max_age,
        )
        self._graceful_shutdown = graceful_shutdown.GracefulShutdown(
            self._session,
            self._work.duties_by_service,
            self._work.runners_by_service,
            self._text_depot,
            text_sender,
            clock,
            () if self._usage is None else (self._usage.duty,),
        )
        self._clients = server.ClientFactory(
            self._front,
            buffers.for_memory(settings.memory),
            clock,
            self._now,
        )
        self._background_tasks: list[defer.Deferred[None]] = []
        self._client_port: Any = None

    def start(self) -> None:
        """Open the ports and start watching the store."""
        settings = self._state.settings
        log.info(
            'Starting.',
            instance=settings.instance,
            data_centre=settings.data_centre,
            store=settings.store_address,
        )
        self._client_port = self._listen(
            settings.client_address, self._clients
        )
        pages = small_server.SmallServer(
            self._clock, checks.pages(self._front, meters.exposition)
        )
        host = settings.client_address.rpartition(':')[0]
        for address in {
            settings.readiness_address,
            settings.directory_address,
            f'{host}:{METRICS_PORT}',
        } - {None}:
            self._listen(str(address), pages)
        peers = small_server.SmallServer(self._clock, self._answer_peer)
        self._listen(settings.peer_address, peers)
        self._observer.add_listener(self._update)
        self._observer.add_listener(self._quarantine.records.update)
        self._quarantine.start()
        self._standbys.start()
        if self._usage is not None:
            self._usage.start()
        # Connections to a restarted target would be reset.
        self._observer.on_restart = self._calls.close_idle
        self._observer.on_start = (
            self._quarantine.crash_detector.handle_started_target
        )
        self._session.lease.on_store_recovery = self._observer.refresh
        self._store_router.on_direct_path_failed = self._on_store_lost
        self._holder_calls.on_duty_free = self._on_duty_query
        for work in (
            *self._observer.follow_coroutines(),
            background.keep_running(
                self._session.keep_registered, 'registration', self._clock
            ),
        ):
            background_task = defer.ensureDeferred(work)
            background_task.addErrback(self._log_crash)
            self._background_tasks.append(background_task)

    def _on_duty_query(self, _: ServiceName) -> None:
        # A peer that queries a duty can reach the store.
        self._store_router.probe_now()
        self._update()

    def _standby_runner(
        self, service: ServiceName
    ) -> standby_runner.StandbyRunner:
        return standby_runner.StandbyRunner(
            service,
            self._state,
            generation.Generator(self._calls, self._clock),
            self._quarantine.guard,
            scoring.Scorer(
                self._state,
                self._sender,
                self._quarantine.guard,
                self._clock,
            ),
            self._clock,
        )

    def _on_store_lost(self) -> None:
        self._observer.refresh()
        self._work.resume()

    async def _answer_peer(
        self, request: small_server.SmallRequest
    ) -> small_server.SmallResponse:
        if request.path == feed.PATH:
            return await self._feed_server.handle(request)
        if request.path == texts.PATH:
            return await self._text_depot.handle(request)
        if request.path == holder_calls.PATH:
            return await self._holder_calls.handle(request)
        if self._standbys.handles_path(request.path):
            return await self._standbys.handle(request)
        if self._quarantine.handles_path(request.path):
            return await self._quarantine.handle(request)
        if self._capacity and self._capacity.handles_path(request.path):
            return await self._capacity.handle(request)
        if self._usage is not None and self._usage.handles_path(request.path):
            return await self._usage.handle(request)
        return await self._store_router.forward(request)

    def reload(self) -> None:
        """Reload the settings file; keep the old settings if invalid."""
        try:
            settings = settings_file.read(self._path)
        except errors.SettingsInvalid as error:
            log.error('Settings were not reloaded.', cause=error.message)
            return
        changed = settings != self._state.settings
        self._state.settings = settings
        log.info('Settings reloaded.', changed=changed)

    async def stop(self) -> None:
        """Hand over duties, serve until clients have moved, and shut down."""
        grace = self._state.settings.stop_grace
        close_at = self._now() + grace - CLOSE_BEFORE_KILL
        end_at = Instant(self._now() + grace - END_BEFORE_KILL)
        log.info('Stopping.', under_way=self._clients.requests_under_way)
        self._state.is_leaving = True
        self._state.stop_window = stop_window.stop_window(
            self._now(), Instant(end_at - ANSWER_SLACK)
        )
        departing = defer.Deferred.fromCoroutine(
            self._graceful_shutdown.leave()
        )
        departing.addErrback(self._log_crash)
        while self._now() < close_at:
            await self._pause()
        if not departing.called:
            # Another instance takes the duty over when the lease expires.
            departing.cancel()
            handover = defer.Deferred.fromCoroutine(
                self._graceful_shutdown.hand_over_texts()
            )
            handover.addErrback(self._log_crash)
        await defer.maybeDeferred(self._client_port.stopListening)
        self._clients.close_idle()
        while self._clients.requests_under_way and self._now() < end_at:
            await self._pause()
            self._clients.close_idle()
        unanswered = self._clients.answer_unfinished()
        cut_off = self._clients.requests_under_way
        await self._end()
        log.info('Stopped.', cut_off=cut_off, unanswered=unanswered)

    async def _end(self) -> None:
        for background_task in self._background_tasks:
            background_task.cancel()
        self._clients.abort_unframed()
        revoking = defer.Deferred.fromCoroutine(self._session.end())
        revoking.addTimeout(END_CALL_SECONDS, self._clock)
        try:
            await revoking
        except (*_STORE_FAILURES, defer.TimeoutError) as error:
            log.warning('Lease was not revoked.', cause=str(error))

    def _update(self) -> None:
        registering = defer.ensureDeferred(
            self._session.restore_registration()
        )
        registering.addErrback(self._log_store_failure)
        if self._usage is not None:
            self._usage.duty.update()
        self._work.update()

    def _listen(self, address: str, factory: Any) -> Any:
        host, _, port = address.rpartition(':')
        return self._clock.listenTCP(
            int(port), factory, backlog=512, interface=host
        )

    async def _pause(self) -> None:
        await task.deferLater(self._clock, STOP_STEP)

    def _log_store_failure(self, failure: Any) -> None:
        failure.trap(*_STORE_FAILURES)
        log.warning('Instance registration failed.', cause=str(failure.value))

    def _log_crash(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Background task failed.', cause=failure.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())


_STORE_FAILURES = (
    store_module.StoreRefused,
    store_module.StoreOutcomeUnknown,
    store_module.StoreConflict,
    store_module.LeaseEnded,
)


def _count_connection(_: str) -> None:
    meters.CONNECTIONS.inc()
