"""Simulate holders, disks and a store in memory, with faults."""

from __future__ import annotations

import collections
import enum
import itertools
import pathlib
import shutil
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.blackboard import Blackboard
from yuccarill.core.calls.load import LoadReport
from yuccarill.core.config import inventory
from yuccarill.core.config import snapshot
from yuccarill.core import errors
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ScorerId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.membership.instances import Instance
from yuccarill.core.rollouts import replicas
from yuccarill.core.rollouts import step as step_module
from yuccarill.daemon.adapters.engine import Chunk
from yuccarill.daemon.adapters import key_value
from yuccarill.daemon.controllers import disk_store
from yuccarill.daemon.controllers import rollouts
from yuccarill.daemon.controllers import sample_store
from yuccarill.daemon.controllers import sampling
from yuccarill.daemon.controllers import step_ledger
from yuccarill.daemon.storage import disk_log
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

TRAINER = TrainerId('forecast')
BOUND = 1


class StoreFault(enum.Enum):
    """Name a fault of a store write."""

    DOWN = 'down'
    REPLY_LOST = 'reply lost'
    # The write succeeds, then the store is down.
    DOWN_AFTER = 'down after'


class FakeStore:
    """Implement compare-and-swap in memory."""

    def __init__(self) -> None:
        self.values_by_key: dict[str, tuple[int, bytes]] = {}
        self.is_down = False
        self.faults: list[StoreFault | None] = []
        self.before_swap: Callable[[str], None] = lambda key: None
        self.writes = 0
        self._versions = itertools.count(1)

    async def get(self, key: str) -> key_value.Entry:
        if self.is_down:
            raise errors.StoreUnavailable('down')
        return key_value.Entry(*self.values_by_key.get(key, (0, b'')))

    async def swap(self, key: str, value: bytes, expected: int) -> int:
        self.before_swap(key)
        fault = self.faults.pop(0) if self.faults else None
        if self.is_down or fault is StoreFault.DOWN:
            raise errors.StoreUnavailable('down')
        if self.values_by_key.get(key, (0, b''))[0] != expected:
            raise errors.StoreConflict('another write came first')
        version = next(self._versions)
        self.values_by_key[key] = (version, value)
        self.writes += 1
        self.is_down = fault is StoreFault.DOWN_AFTER
        if fault is not None:
            raise errors.StoreUnavailable('reply lost')
        return version


class Gates:
    """Block work at named gates until a test opens them."""

    def __init__(self) -> None:
        self.closed: set[str] = set()
        self._waiting_by_name: dict[str, list[defer.Deferred[None]]] = (
            collections.defaultdict(list)
        )

    async def arrive(self, name: str) -> None:
        if name in self.closed:
            waiting: defer.Deferred[None] = defer.Deferred()
            self._waiting_by_name[name].append(waiting)
            await waiting

    def open(self) -> None:
        """Open all gates and resume the blocked work."""
        self.closed = set()
        for name in list(self._waiting_by_name):
            for waiting in self._waiting_by_name.pop(name):
                if not waiting.called:
                    waiting.callback(None)

    def cut(self, *names: str) -> None:
        """Fail blocked work, as a lost connection does."""
        for name in names:
            for waiting in self._waiting_by_name.pop(name, []):
                if not waiting.called:
                    waiting.errback(errors.AnswerCut('cut'))


class FakeFleet:
    """Simulate the engines and the scorer.

    A token encodes its weight version and its position in the sample.
    """

    def __init__(self, gates: Gates) -> None:
        self.version = WeightVersion(1)
        self.gates = gates
        self.blocks_after = 1 << 30
        self.failures = 0
        self.scorer_failures = 0
        # Number of streams whose chunks have no weight version.
        self.unversioned = 0
        # Number of queued samples that engines report.
        self.queued = 0
        self.priorities: set[int] = set()
        self.made = 0

    async def generate(
        self,
        address: str,
        request: dict[str, Any],
        seconds: float,
        on_chunk: Any,
        on_report: Any,
    ) -> None:
        self.made += 1
        self.priorities.add(request['priority'])
        on_report(LoadReport(in_flight=16, queued=self.queued))
        if self.made > self.blocks_after:
            self.gates.closed.add('assigned')
        await self.gates.arrive('assigned')
        if self.failures:
            self.failures -= 1
            raise errors.AnswerCut('the engine failed')
        if self.unversioned:
            self.unversioned -= 1
            on_chunk(Chunk(None, (1, 2)))
        half = request['max_tokens'] // 2
        start = len(request['resume_tokens'])
        self._send_chunk(on_chunk, start, half)
        await self.gates.arrive('generating')
        self._send_chunk(on_chunk, max(start, half), request['max_tokens'])

    def _send_chunk(self, on_chunk: Any, start: int, end: int) -> None:
        tokens = tuple(self.version * 1000 + n for n in range(start, end))
        if tokens:
            on_chunk(Chunk(self.version, tokens))

    async def score(self, address: str, sample: Any) -> float:
        await self.gates.arrive('scoring')
        if self.scorer_failures:
            self.scorer_failures -= 1
            raise errors.AnswerCut('the scorer failed')
        return 0.5


class FakeDisk:
    """Simulate a disk instance with a real disk log."""

    def __init__(self, world: World, name: str, centre: str) -> None:
        self._world = world
        self.name = InstanceId(name)
        self.centre = DataCentreId(centre)
        self.folder = world.folder / name
        self.is_up = True
        self.open()

    def open(self) -> None:
        """Open the log in the folder and register the disk."""
        self.log = disk_log.DiskLog(self.folder, segment_bytes=400)
        ledger = step_ledger.StepLedger(self._world.store)
        self.store = disk_store.DiskStore(self.log, ledger, self._world.clock)
        own_disk = replicas.Disk(
            instance=self.name,
            data_centre=self.centre,
            store_id=self.log.store_id,
        )
        self._world.run(self._world.registry.refresh(own_disk))

    def replace(self) -> None:
        """Replace the folder by an empty one."""
        self.log.close()
        shutil.rmtree(self.folder)
        self.open()


class World:
    """Hold the shared services and start holders."""

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self.clock = task.Clock()
        self.store = FakeStore()
        self.gates = Gates()
        self.fleet = FakeFleet(self.gates)
        self.holders: dict[str, rollouts.RolloutController] = {}
        self.epochs: dict[str, Epoch | None] = {}
        self.folder = folder or pathlib.Path()
        self.registry = disk_store.DiskRegistry(self.store, self, self.clock)
        self.disks_by_id: dict[InstanceId, FakeDisk] = {}

    def add_disk(self, name: str, centre: str) -> FakeDisk:
        disk = FakeDisk(self, name, centre)
        self.disks_by_id[disk.name] = disk
        return disk

    def live(self) -> list[Instance]:
        return [
            _instance(d.name) for d in self.disks_by_id.values() if d.is_up
        ]

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine within half a second of simulated time."""
        outcome: list[Any] = []
        defer.ensureDeferred(work).addBoth(outcome.append)
        self.clock.pump([0.05] * 10)
        if not outcome:
            raise AssertionError('The coroutine did not finish.')
        if hasattr(outcome[0], 'raiseException'):
            outcome[0].raiseException()
        return outcome[0]

    def fetch(self, holder: Any) -> Any:
        """Fetch step 1 until it is complete, as a trainer does."""
        for _ in range(5):
            try:
                return self.run(holder.fetch(TRAINER, StepNumber(1)))
            except errors.StepPending as error:
                last = error
        raise last

    def start(self, name: str, incarnation: str = 'i1') -> Any:
        """Start an instance, or restart it without its state."""
        blackboard = Blackboard(own_instance=_instance(name), snapshot=_head())
        identity = Incarnation(f'{name}{incarnation}')
        store = sample_store.SampleStore(
            self.registry, self._ask_disk, self.clock
        )
        maker = sampling.SampleMaker(
            blackboard, identity, self.fleet, self.fleet, store, self.clock
        )
        defer.ensureDeferred(maker.follow())
        controller = rollouts.RolloutController(
            blackboard,
            identity,
            step_ledger.StepLedger(self.store),
            maker,
            store,
            self._ask_holder,
            lambda duty: self.epochs.get(name, Epoch(0)),
        )
        self.holders[name] = controller
        return controller

    async def _ask_holder(self, holder: InstanceId, *key: Any) -> bytes:
        return await self.holders[holder].fetch(*key)

    async def _ask_disk(self, name: InstanceId, body: Any) -> Any:
        disk = self.disks_by_id[name]
        if isinstance(body, messages.SamplesKeep):
            await self.gates.arrive('scored')
        if not disk.is_up:
            raise errors.PeerUnavailable('down')
        return await disk.store.handle(body)


def request(
    step: int = 1, newest: int = 1, prompt: str = 'p'
) -> step_module.StepRequest:
    """Return a request for two groups of two samples."""
    groups = tuple(
        step_module.Group(f'{prompt}{number}', samples=2)
        for number in range(2)
    )
    return step_module.StepRequest(
        StepNumber(step), WeightVersion(newest), groups
    )


def oldest_of(body: bytes) -> int:
    """Return the oldest weight version in a delivery."""
    return min(
        span['weight_version']
        for sample in msgspec.json.decode(body)['samples']
        for span in sample['spans']
    )


def _instance(name: str) -> Instance:
    return Instance(
        id=InstanceId(name),
        data_centre=DataCentreId('freising'),
        host='127.0.0.1',
        http_port=1,
        peer_port=2,
    )


def _head() -> snapshot.Snapshot:
    trainer = inventory.Trainer(
        id=TRAINER,
        model=ModelName('m'),
        scorer=ScorerId('s'),
        staleness_bound=BOUND,
        policy=inventory.StalenessFirst(),
    )
    engines = tuple(
        inventory.Engine(
            id=TargetId(f'e{number}'),
            model=ModelName('m'),
            address=f'127.0.0.1:{number}',
            data_centre=DataCentreId('freising'),
        )
        for number in (1, 2, 3)
    )
    scorer = inventory.Scorer(id=ScorerId('s'), address='127.0.0.1:9')
    return snapshot.from_inventory(
        inventory.Inventory(
            engines=engines, trainers=(trainer,), scorers=(scorer,)
        )
    )
