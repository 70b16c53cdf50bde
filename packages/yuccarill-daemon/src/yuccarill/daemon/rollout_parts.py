"""Compose the components that process trainers' steps."""

from __future__ import annotations

import pathlib
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core import errors
from yuccarill.core.rollouts import replicas
from yuccarill.daemon.controllers import disk_store
from yuccarill.daemon.controllers import rollouts
from yuccarill.daemon.controllers import sample_store
from yuccarill.daemon.controllers import sampling
from yuccarill.daemon.controllers import step_ledger
from yuccarill.daemon.controllers import step_routing
from yuccarill.daemon.storage import disk_log

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.daemon.adapters.engine import EngineAdapter
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter
    from yuccarill.daemon.adapters.scorer import ScorerAdapter
    from yuccarill.daemon.controllers.leases import LeaseController
    from yuccarill.daemon.controllers.membership import MembershipController
    from yuccarill.daemon.peers.peers import Peers
    from yuccarill.wire import messages

DISK_SECONDS = 5.0


class RolloutParts:
    """The components that generate, store and deliver samples."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        key_value: KeyValueAdapter,
        membership: MembershipController,
        leases: LeaseController,
        peers: Peers,
        engines: EngineAdapter,
        scorer: ScorerAdapter,
        data_folder: str | None,
    ) -> None:
        self._blackboard = blackboard
        self._peers = peers
        ledger = step_ledger.StepLedger(key_value)
        self._disk: disk_store.DiskStore | None = None
        self._local_disk: replicas.Disk | None = None
        if data_folder is not None:
            self._open_disk(pathlib.Path(data_folder), ledger)
        self._registry = disk_store.DiskRegistry(key_value, membership)
        store = sample_store.SampleStore(self._registry, self._request_disk)
        self._maker = sampling.SampleMaker(
            blackboard, incarnation, engines, scorer, store
        )
        controller = rollouts.RolloutController(
            blackboard,
            incarnation,
            ledger,
            self._maker,
            store,
            step_routing.HolderClient(blackboard, peers).fetch,
            leases.epoch_for,
        )
        self.active_duties = controller.active_duties
        self.open_steps = controller.open_steps
        self.steps = step_routing.StepRouting(
            blackboard, leases, controller, peers
        )

    @property
    def active_samples(self) -> int:
        """Return the number of samples in generation."""
        return self._maker.active

    def create_loops(self) -> list[Awaitable[None]]:
        """Return the background loops, which run until the process ends."""
        loops: list[Awaitable[None]] = [
            self._registry.follow(self._local_disk),
            self._maker.follow(),
        ]
        if self._disk is not None:
            loops.append(self._disk.follow())
        return loops

    async def handle_disk(self, body: messages.DiskRequest) -> messages.Body:
        """Answer a request to this instance's sample store.

        Raises NotRun if it has no data folder.
        """
        if self._disk is None:
            raise errors.NotRun('This instance has no data folder.')
        return await self._disk.handle(body)

    def _open_disk(
        self, folder: pathlib.Path, ledger: step_ledger.StepLedger
    ) -> None:
        sample_log = disk_log.DiskLog(folder / 'samples')
        self._disk = disk_store.DiskStore(sample_log, ledger)
        me = self._blackboard.own_instance
        self._local_disk = replicas.Disk(
            instance=me.id,
            data_centre=me.data_centre,
            store_id=sample_log.store_id,
        )

    async def _request_disk(
        self, disk: InstanceId, body: messages.DiskRequest
    ) -> Any:
        if disk == self._blackboard.own_instance.id:
            return await self.handle_disk(body)
        peer = self._blackboard.instances_by_id.get(disk)
        if peer is None:
            raise errors.PeerUnavailable(f'Instance {disk} is unknown.')
        return await self._peers.request(peer, body, DISK_SECONDS)
