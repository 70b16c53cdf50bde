"""Provide test fixtures: instances, an in-memory store and a fake clock."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.gateway import partitions
from yuccarill.core.gateway import routes
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.gateway.targets import TargetStart
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.daemon.gateway.duty import lease
from yuccarill.daemon.gateway import state as state_module
from yuccarill.platform import settings_file

from . import memory_store

SERVICE = ServiceName('engines')
MODEL = ModelName('m')


def settings(name: str) -> settings_file.InstanceSettings:
    return settings_file.InstanceSettings(
        instance=InstanceId(name),
        data_centre=DataCentreId('d'),
        client_address=f'{name}:1',
        readiness_address=None,
        directory_address=None,
        peer_address=f'{name}:2',
        cores=1.0,
        store_address='store:3',
        min_lease=1.0,
        handover_pause=3.0,
        stop_grace=8.0,
        max_address_validity=5.0,
        job_retention=120.0,
        store_value_bytes=1 << 20,
    )


def engine(name: str, version: int = 1) -> ListedTarget:
    return ListedTarget(
        id=TargetId(name),
        service=SERVICE,
        address=f'{name}:80',
        data_centre=DataCentreId('d'),
        slots=4,
        versions_by_model={MODEL: WeightVersion(version)},
    )


def started(name: str, started_at: int) -> ListedTarget:
    """Return a target whose process started at the given time."""
    return msgspec.structs.replace(
        engine(name), start=TargetStart(started_at=started_at)
    )


def batch_route() -> routes.Route:
    return routes.Route(
        name='train',
        host='t.example',
        prefix='/train/',
        kind=routes.RouteKind.BATCH,
        shares=(routes.Share(SERVICE, 1.0),),
        timeout=10.0,
        objective=0.4,
        max_attempts=3,
        due_after=7.5,
        retention=40.0,
    )


def list_instance(
    state: state_module.GatewayState, name: str, cores: float = 1.0
) -> None:
    """Add a serving instance to another instance's state."""
    state.instances_by_id[InstanceId(name)] = state_module.InstanceRecord(
        instance=name,
        data_centre='d',
        client_address=f'{name}:1',
        peer_address=f'{name}:2',
        cores=cores,
    )


class WorldTest(unittest.TestCase):
    """Provide a fake clock and an in-memory store to each test."""

    def setUp(self) -> None:
        self.clock = task.Clock()
        self.keys = memory_store.Keys(self.clock)
        # Simulated suspend time, which only the boot clock includes.
        self.suspended = 0.0
        patch = mock.patch.object(
            lease, 'seconds_since_boot', self.seconds_since_boot
        )
        patch.start()
        self.addCleanup(patch.stop)

    def seconds_since_boot(self) -> Instant:
        return Instant(self.clock.seconds() + self.suspended)

    def store(self) -> memory_store.MemoryStore:
        return memory_store.MemoryStore(self.keys)

    def state(self, name: str) -> state_module.GatewayState:
        found = state_module.GatewayState(settings(name), random.Random(name))
        found.is_current = True
        found.divisions_by_service[SERVICE] = partitions.UNDIVIDED
        found.targets.put(engine('e1'))
        return found

    def run_for(self, seconds: float, step: float = 0.01) -> None:
        """Advance the clock in steps and expire leases."""
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            self.keys.expire()

    def finish(self, work: object, seconds: float = 30.0) -> object:
        """Run a coroutine and return its result or raise its error."""
        running = defer.Deferred.fromCoroutine(work)
        results: list[object] = []
        running.addBoth(results.append)
        for _ in range(round(seconds / 0.01)):
            if results:
                break
            self.run_for(0.01)
        self.assertTrue(results, 'the coroutine did not finish')
        if hasattr(results[0], 'raiseException'):
            results[0].raiseException()
        return results[0]
