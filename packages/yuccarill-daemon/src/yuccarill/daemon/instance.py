"""Compose and run the components of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import reactor

from yuccarill.core.blackboard import Blackboard
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.instances import Instance
from yuccarill.core.membership import shutdown as shutdown_steps
from yuccarill.daemon.adapters import http
from yuccarill.daemon.adapters import key_value
from yuccarill.daemon.api import callers
from yuccarill.daemon.api import operators
from yuccarill.daemon.api import root
from yuccarill.daemon.api import site
from yuccarill.daemon.api import status_view
from yuccarill.daemon.api import trainers
from yuccarill.daemon import control_parts
from yuccarill.daemon.controllers import shutdown
from yuccarill.daemon import logs
from yuccarill.daemon import metrics
from yuccarill.daemon import process_metrics
from yuccarill.daemon import work_parts

if TYPE_CHECKING:
    from typing import Any

    from yuccarill.core.membership.shutdown import StopOutcome
    from yuccarill.daemon.settings import Settings
    from yuccarill.wire import messages

log = logs.for_part('instance')


class InstanceProcess:
    """Own the components of one instance; start and stop them."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._blackboard = Blackboard(own_instance=_local_instance(settings))
        self._incarnation = Incarnation(uuid.uuid4().hex[:12])
        client = http.HttpClient()
        store = key_value.KeyValueAdapter(client, settings.key_value)
        self._control = control_parts.ControlParts(
            self._blackboard,
            self._incarnation,
            client,
            store,
            settings.instance_list,
            self._handle,
        )
        self._work = work_parts.WorkParts(
            settings,
            self._blackboard,
            self._incarnation,
            client,
            store,
            self._control,
        )
        self._control.leases.active_duties = self._work.rollouts.active_duties
        self._site = self._build_site()
        self._shutdown = self._build_shutdown()

    async def start(self) -> None:
        """Start the background loops and accept requests."""
        settings = self._settings
        await self._control.peers.listen(settings.host, settings.peer_port)
        for loop in self._control.create_loops() + self._work.create_loops():
            defer.ensureDeferred(loop).addErrback(self._on_loop_failure)
        endpoint = endpoints.TCP4ServerEndpoint(
            reactor, settings.http_port, interface=settings.host, backlog=1024
        )
        self._shutdown.ports.append(await endpoint.listen(self._site))
        process_metrics.Vitals(self._blackboard, reactor).start()
        log.info('Instance is serving requests.', port=settings.http_port)

    async def stop(self) -> StopOutcome:
        """Shut down gracefully; a second call shortens the shutdown."""
        return await self._shutdown.stop()

    def _build_site(self) -> Any:
        control = self._control
        work = self._work
        return site.build(
            root.build(
                callers.CallerApi(
                    work.calls,
                    control.membership,
                    self._settings.address_validity,
                ),
                trainers.TrainerApi(work.rollouts.steps),
                operators.OperatorApi(
                    self._blackboard,
                    control.configuration,
                    status_view.StatusView(
                        self._blackboard,
                        self._incarnation,
                        control.leases,
                        work.rollouts.open_steps,
                        control.peers.traffic,
                    ),
                ),
            )
        )

    def _build_shutdown(self) -> shutdown.ShutdownController:
        return shutdown.ShutdownController(
            self._blackboard,
            shutdown_steps.StopPolicy(
                address_validity=self._settings.address_validity,
                stop_timeout=self._settings.stop_timeout,
            ),
            self._control.membership,
            self._control.leases,
            self._work.calls,
            self._work.rollouts,
            self._control.peers,
            self._site,
            reactor,
        )

    async def _handle(self, body: messages.Body) -> messages.Body:
        answer = await self._work.handle(body)
        if answer is not None:
            return answer
        return await self._control.handle(body)

    def _on_loop_failure(self, failure: object) -> None:
        metrics.count(metrics.Metric.PROCESS_CONTROLLERS_ENDED)
        log.error('Background loop ended in error.', cause=str(failure)[:500])


def _local_instance(settings: Settings) -> Instance:
    return Instance(
        id=InstanceId(settings.instance),
        data_centre=DataCentreId(settings.data_centre),
        host=settings.host,
        http_port=settings.http_port,
        peer_port=settings.peer_port,
    )
