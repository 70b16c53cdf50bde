"""Compose and run one instance on the users' platform."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import connections
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.accounts import admission
from yuccarill.daemon.gateway.accounts import look
from yuccarill.daemon.gateway.capacity import control
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.duty import departure
from yuccarill.daemon.gateway.duty import holder_calls
from yuccarill.daemon.gateway.duty import session
from yuccarill.daemon.gateway.flow import desk as flow_desk
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
from yuccarill.daemon.gateway.standby import desk
from yuccarill.daemon.gateway.standby import unlisted_runs
from yuccarill.daemon.gateway.standby import witness
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon.gateway.store import feed
from yuccarill.daemon.gateway.store import observer
from yuccarill.daemon.gateway.store import store_way
from yuccarill.daemon.gateway.usage import parts as parts_of_usage
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

# Where metrics are read, beside the client's port.
METRICS_PORT = 9464
# Seconds before the platform's kill at which a stopping instance closes
# what is idle, and at which it ends whatever is left.
CLOSE_BEFORE_KILL = 1.8
END_BEFORE_KILL = 0.7
# Seconds that the last call of the store may take. Where the store falls
# silent in that moment, the call and its tries through peers took 1.8 s, and
# the platform killed the process; the lease ends by itself.
END_CALL_SECONDS = 0.4
# Seconds between looks at the requests under way during a stop.
STOP_STEP = 0.05


class GatewayProcess:
    """Run one instance until it is stopped."""

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
        self._way = store_way.StoreWay(self._state, links, clock)
        self._store = store_module.Store(self._way, settings.store_address)
        background = store_module.Store(
            store_way.BackgroundWay(self._way), settings.store_address
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
        self._feeds = feed.FeedServer(self._observer.followers_by_prefix)
        self._session = session.Session(
            self._state, background, self._update, clock
        )
        peers = peer_call.PeerCalls(links, clock)
        self._capacity: control.CapacityControl | None = None
        if options.capacity is options_module.CapacityMode.SHARED:
            self._capacity = control.CapacityControl(self._state, peers, clock)
        letting_in = self._capacity or port.NO_CAPACITY
        self._sender = sender.Sender(
            pools.Pools(self._state),
            self._calls,
            self._quarantine.guard,
            clock,
            letting_in,
        )
        jobs = job_store.JobStore(self._store, clock)
        self._holders = holder_calls.HolderCalls(self._state, peers)
        self._depot = texts.TextDepot(clock)
        text_sender = texts.TextSender(self._state, links, clock)
        text_fetcher = text_fetch.TextFetcher(self._state, links, clock)
        self._standbys = desk.StandbyDesk(
            self._state,
            self._observer.least_age,
            self._depot,
            witness.Witnesses(self._state, peers, self._observer.least_age),
            self._standby_runner,
            self._holders.is_alive,
            self._way.expect_return,
            clock,
        )
        self._work = service_work.ServiceWork(
            self._state,
            self._store,
            jobs,
            self._calls,
            self._quarantine.guard,
            self._sender,
            engines.Engines(links),
            self._depot,
            text_sender,
            text_fetcher,
            self._standbys,
            peers,
            self._holders,
            scaling_parts.ScalingParts(
                options.target_orders, self._state, links, clock
            ),
            clock,
        )
        passing_on = relay.Relay(self._state, links, clock)
        taking = intake.Intake(
            self._state, jobs, passing_on, self._work.runners_by_service, clock
        )
        reading = trainers.TrainerDesk(
            taking, passing_on, self._work.runners_by_service.values
        )
        self._usage: parts_of_usage.UsageParts | None = None
        if settings.usage is not None:
            self._usage = parts_of_usage.UsageParts(
                settings.usage,
                self._state,
                self._store,
                links,
                self._holders,
                clock,
            )
        counting = self._usage or usage_sink.NoUsage()
        admitting = admission.AccountAdmission(
            self._state,
            look.ConfigurationLook(
                self._state,
                self._store,
                self._observer.learn_configuration,
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
                counting,
                clock,
                letting_in,
            ),
            taking,
            admitting,
            counting,
            clock,
            letting_in,
        )
        self._front = front.Front(
            self._state, forwarder, reading, admitting, self._observer.age
        )
        self._departure = departure.Departure(
            self._session,
            self._work.duties_by_service,
            self._work.runners_by_service,
            self._depot,
            text_sender,
            clock,
            () if self._usage is None else (self._usage.duty,),
        )
        self._clients = server.ClientFactory(
            self._front,
            flow_desk.for_memory(settings.memory),
            clock,
            self._now,
        )
        self._following: list[defer.Deferred[None]] = []
        self._client_port: Any = None

    def start(self) -> None:
        """Open the ports and begin to follow the store."""
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
        self._observer.listen(self._update)
        self._observer.listen(self._quarantine.records.update)
        self._quarantine.start()
        self._standbys.start()
        if self._usage is not None:
            self._usage.start()
        # Requests would go out on connections that end in a reset.
        self._observer.on_restart = self._calls.forget
        self._observer.on_start = self._quarantine.ends.started
        self._session.lease.on_return = self._observer.refresh
        self._way.on_lost = self._way_lost
        self._holders.on_asked = self._asked
        for work in (*self._observer.following(), self._session.follow()):
            following = defer.ensureDeferred(work)
            following.addErrback(self._crashed)
            self._following.append(following)

    def _asked(self, _: ServiceName) -> None:
        # Whoever asks after a duty reaches the store.
        self._way.expect_return()
        self._update()

    def _standby_runner(
        self, service: ServiceName
    ) -> unlisted_runs.StandbyRunner:
        return unlisted_runs.StandbyRunner(
            service,
            self._state,
            generation.Generator(self._calls, self._clock),
            self._quarantine.guard,
            scoring.Scorer(self._state, self._sender, self._clock),
            self._clock,
        )

    def _way_lost(self) -> None:
        self._observer.refresh()
        self._work.resume()

    async def _answer_peer(
        self, request: small_server.SmallRequest
    ) -> small_server.Page:
        if request.path == feed.PATH:
            return await self._feeds.handle(request)
        if request.path == texts.PATH:
            return await self._depot.handle(request)
        if request.path == holder_calls.PATH:
            return await self._holders.handle(request)
        if self._standbys.handles(request.path):
            return await self._standbys.handle(request)
        if self._quarantine.handles(request.path):
            return await self._quarantine.handle(request)
        if self._capacity and self._capacity.handles(request.path):
            return await self._capacity.handle(request)
        if self._usage is not None and self._usage.handles(request.path):
            return await self._usage.handle(request)
        return await self._way.pass_on(request)

    def reload(self) -> None:
        """Read the settings file again."""
        try:
            settings = settings_file.read(self._path)
        except errors.SettingsInvalid as error:
            log.error('Settings kept: not valid.', cause=error.message)
            return
        changed = settings != self._state.settings
        self._state.settings = settings
        log.info('Settings read again.', changed=changed)

    async def stop(self) -> None:
        """Leave, serve on until clients have moved, and end."""
        grace = self._state.settings.stop_grace
        close_at = self._now() + grace - CLOSE_BEFORE_KILL
        end_at = self._now() + grace - END_BEFORE_KILL
        log.info('Stopping.', under_way=self._clients.requests_under_way)
        self._state.is_leaving = True
        leaving = defer.Deferred.fromCoroutine(self._departure.leave())
        leaving.addErrback(self._crashed)
        while self._now() < close_at:
            await self._pause()
        if not leaving.called:
            # The duty goes on elsewhere once its lease has ended.
            leaving.cancel()
            handing_on = defer.Deferred.fromCoroutine(
                self._departure.hand_on()
            )
            handing_on.addErrback(self._crashed)
        await defer.maybeDeferred(self._client_port.stopListening)
        self._clients.close_idle()
        while self._clients.requests_under_way and self._now() < end_at:
            await self._pause()
            self._clients.close_idle()
        await self._end()
        log.info('Stopped.', cut_off=self._clients.requests_under_way)

    async def _end(self) -> None:
        for following in self._following:
            following.cancel()
        ending = defer.Deferred.fromCoroutine(self._session.end())
        ending.addTimeout(END_CALL_SECONDS, self._clock)
        try:
            await ending
        except (*_STORE_FAILURES, defer.TimeoutError) as error:
            log.warning('Lease not ended.', cause=str(error))

    def _update(self) -> None:
        checking = defer.ensureDeferred(self._session.check())
        checking.addErrback(self._store_failed)
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

    def _store_failed(self, failure: Any) -> None:
        failure.trap(*_STORE_FAILURES)
        log.warning('Not registered again.', cause=str(failure.value))

    def _crashed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Work ended.', cause=failure.getTraceback())

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())


_STORE_FAILURES = (
    store_module.StoreRefused,
    store_module.StoreUnclear,
    store_module.StoreConflict,
    store_module.LeaseEnded,
)


def _count_connection(_: str) -> None:
    meters.CONNECTIONS.inc()
