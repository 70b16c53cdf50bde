"""Compose the components that serve callers, trainers and targets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from twisted.internet import reactor

from yuccarill.core.calls import ledger
from yuccarill.daemon.adapters import engine
from yuccarill.daemon.adapters import engine_weights
from yuccarill.daemon.adapters import scorer
from yuccarill.daemon.adapters import target
from yuccarill.daemon.adapters import weight_store
from yuccarill.daemon.controllers import calls
from yuccarill.daemon.controllers import targets
from yuccarill.daemon.controllers import weights
from yuccarill.daemon import rollout_parts
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Incarnation
    from yuccarill.daemon.adapters.http import HttpClient
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter
    from yuccarill.daemon.control_parts import ControlParts
    from yuccarill.daemon.settings import Settings

# Seconds for which a ticket outlives the addresses issued with it, so that a
# request sent as they expire still arrives in time.
GRACE_SECONDS = 30.0


class WorkParts:
    """The components that serve callers and trainers and control targets."""

    def __init__(
        self,
        settings: Settings,
        blackboard: Blackboard,
        incarnation: Incarnation,
        client: HttpClient,
        store: KeyValueAdapter,
        control: ControlParts,
    ) -> None:
        self.calls = calls.CallController(
            blackboard,
            incarnation,
            target.TargetAdapter(time.monotonic),
            engine.EngineAdapter(client),
            control.peers,
            ledger.Limits(
                ticket_lifetime=settings.address_validity + GRACE_SECONDS
            ),
        )
        self.rollouts = rollout_parts.RolloutParts(
            blackboard,
            incarnation,
            store,
            control.membership,
            control.leases,
            control.peers,
            engine.EngineAdapter(client),
            scorer.ScorerAdapter(client),
            settings.data_folder,
        )
        self._targets = targets.TargetController(
            blackboard,
            control.leases,
            engine_weights.EngineWeightsAdapter(client),
            control.peers,
            reactor,
        )
        self._weights = weights.WeightController(
            blackboard,
            control.leases,
            weight_store.WeightStoreAdapter(client, settings.weight_store),
            self._targets,
            control.peers,
            settings.weight_downloads,
            reactor,
        )

    def create_loops(self) -> list[Awaitable[None]]:
        """Return the background loops, which run until the process ends."""
        return [
            self._targets.follow(),
            self._weights.follow(),
            *self.rollouts.create_loops(),
        ]

    async def handle(self, body: messages.Body) -> messages.Body | None:
        """Answer a peer's request, or return None for other messages."""
        match body:
            case messages.CallRequest() | messages.OutcomeQuery():
                return await self.calls.handle(body)
            case (
                messages.StepSubmit()
                | messages.StepFetch()
                | messages.StepAcknowledge()
                | messages.StepDelete()
                | messages.VersionAnnounce()
            ):
                return await self.rollouts.steps.handle_here(body)
            case (
                messages.SamplesKeep()
                | messages.SamplesList()
                | messages.SamplesRead()
                | messages.SamplesDrop()
            ):
                return await self.rollouts.handle_disk(body)
            case messages.WeightOrders() | messages.WeightQuery():
                return await self._targets.handle(body)
            case messages.WeightReports():
                return self._weights.handle(body)
            case _:
                return None
