"""Compose the parts of one instance."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING
import uuid

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import reactor

from yuccarill.core.blackboard import Blackboard
from yuccarill.core.calls import ledger
from yuccarill.core import errors
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.instances import Instance
from yuccarill.core.membership import shutdown as shutdown_steps
from yuccarill.daemon.adapters import engine
from yuccarill.daemon.adapters import engine_weights
from yuccarill.daemon.adapters import http
from yuccarill.daemon.adapters import instance_list
from yuccarill.daemon.adapters import key_value
from yuccarill.daemon.adapters import scorer
from yuccarill.daemon.adapters import target
from yuccarill.daemon.adapters import weight_store
from yuccarill.daemon.api import callers
from yuccarill.daemon.api import operators
from yuccarill.daemon.api import root
from yuccarill.daemon.api import site
from yuccarill.daemon.api import status_view
from yuccarill.daemon.api import trainers
from yuccarill.daemon.controllers import calls
from yuccarill.daemon.controllers import configuration
from yuccarill.daemon.controllers import decisions
from yuccarill.daemon.controllers import dissemination
from yuccarill.daemon.controllers import leases
from yuccarill.daemon.controllers import membership
from yuccarill.daemon.controllers import shutdown
from yuccarill.daemon.controllers import targets
from yuccarill.daemon.controllers import weights
from yuccarill.daemon import logs
from yuccarill.daemon import metrics
from yuccarill.daemon.peers import peers
from yuccarill.daemon import rollout_parts
from yuccarill.daemon import vitals
from yuccarill.wire import messages

if TYPE_CHECKING:
    from yuccarill.core.membership.shutdown import StopOutcome
    from yuccarill.daemon.settings import Settings

log = logs.for_part('instance')

# Seconds for which a ticket outlives the addresses it was given out with,
# so that a request sent at their end still arrives in time.
TICKET_SECONDS = 30.0


class InstanceProcess:
    """Run one instance."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._blackboard = Blackboard(
            me=Instance(
                id=InstanceId(settings.instance),
                data_centre=DataCentreId(settings.data_centre),
                host=settings.host,
                http_port=settings.http_port,
                peer_port=settings.peer_port,
            )
        )
        incarnation = Incarnation(uuid.uuid4().hex[:12])
        client = http.HttpClient()
        store = key_value.KeyValueAdapter(client, settings.key_value)
        self._peers = peers.Peers(
            self._handle, self._blackboard.me, incarnation
        )
        self._membership = membership.MembershipController(
            self._blackboard,
            instance_list.InstanceListAdapter(client, settings.instance_list),
            self._peers,
            incarnation,
        )
        self._dissemination = dissemination.DisseminationController(
            self._blackboard.me,
            self._membership,
            self._peers,
            store,
            random.Random(),
            reactor,
        )
        self._leases = leases.LeaseController(
            self._blackboard,
            incarnation,
            self._membership,
            store,
            self._dissemination,
            self._peers,
            random.Random(),
            reactor,
        )
        self._configuration = configuration.ConfigurationController(
            self._blackboard,
            self._dissemination,
            self._peers,
            decisions.DecisionRunner(store, reactor),
            reactor,
        )
        self._calls = calls.CallController(
            self._blackboard,
            incarnation,
            target.TargetAdapter(time.monotonic),
            engine.EngineAdapter(client),
            self._peers,
            ledger.Limits(
                ticket_lifetime=settings.address_validity + TICKET_SECONDS
            ),
        )
        self._rollouts = rollout_parts.RolloutParts(
            self._blackboard,
            incarnation,
            store,
            self._membership,
            self._leases,
            self._peers,
            engine.EngineAdapter(client),
            scorer.ScorerAdapter(client),
            settings.data_folder,
        )
        self._targets = targets.TargetController(
            self._blackboard,
            self._leases,
            engine_weights.EngineWeightsAdapter(client),
            self._peers,
            reactor,
        )
        self._weights = weights.WeightController(
            self._blackboard,
            self._leases,
            weight_store.WeightStoreAdapter(client, settings.weight_store),
            self._targets,
            self._peers,
            settings.weight_downloads,
            reactor,
        )
        self._leases.busy_duties = self._rollouts.busy_duties
        self._site = site.build(
            root.build(
                callers.CallerApi(
                    self._calls, self._membership, settings.address_validity
                ),
                trainers.TrainerApi(self._rollouts.steps),
                operators.OperatorApi(
                    self._blackboard,
                    self._configuration,
                    status_view.StatusView(
                        self._blackboard,
                        incarnation,
                        self._leases,
                        self._rollouts.open_steps,
                        self._peers.traffic,
                    ),
                ),
            )
        )
        self._shutdown = shutdown.ShutdownController(
            self._blackboard,
            shutdown_steps.StopPolicy(
                address_validity=settings.address_validity,
                stop_timeout=settings.stop_timeout,
            ),
            self._membership,
            self._leases,
            self._calls,
            self._rollouts,
            self._peers,
            self._site,
            reactor,
        )

    async def start(self) -> None:
        """Begin to serve."""
        settings = self._settings
        await self._peers.listen(settings.host, settings.peer_port)
        for following in (
            self._configuration,
            self._membership,
            self._dissemination,
            self._targets,
            self._weights,
            self._leases,
        ):
            defer.ensureDeferred(following.follow()).addErrback(self._broken)
        for work in self._rollouts.following():
            defer.ensureDeferred(work).addErrback(self._broken)
        endpoint = endpoints.TCP4ServerEndpoint(
            reactor, settings.http_port, interface=settings.host, backlog=1024
        )
        self._shutdown.ports.append(await endpoint.listen(self._site))
        vitals.Vitals(self._blackboard, reactor).start()
        log.info('Serving.', port=settings.http_port)

    async def stop(self) -> StopOutcome:
        """Finish what is in flight; called again, end soon."""
        return await self._shutdown.stop()

    async def _handle(self, body: messages.Body) -> messages.Body:
        match body:
            case messages.CallRequest() | messages.OutcomeQuery():
                return await self._calls.handle(body)
            case (
                messages.StepSubmit()
                | messages.StepFetch()
                | messages.StepAcknowledge()
                | messages.StepDelete()
                | messages.VersionAnnounce()
            ):
                return await self._rollouts.steps.handle_here(body)
            case (
                messages.SamplesKeep()
                | messages.SamplesList()
                | messages.SamplesRead()
                | messages.SamplesDrop()
            ):
                return await self._rollouts.handle_disk(body)
            case (
                messages.Probe()
                | messages.IndirectProbe()
                | messages.ViewRequest()
            ):
                return await self._membership.handle(body)
            case messages.RecordOffer() | messages.RecordExchange():
                return self._dissemination.handle(body)
            case messages.WeightOrders() | messages.WeightQuery():
                return await self._targets.handle(body)
            case messages.WeightReports():
                return self._weights.handle(body)
            case messages.LeaseAsk() | messages.LeaseInvite():
                return await self._leases.handle(body)
            case messages.ConfigurationFetch():
                return self._configuration.handle(body)
            case _:
                raise errors.FrameInvalid('This message is no request.')

    def _broken(self, failure: object) -> None:
        metrics.count(metrics.Metric.PROCESS_CONTROLLERS_ENDED)
        log.error('A controller ended.', cause=str(failure)[:500])
