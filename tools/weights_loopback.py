"""Measure the cost of weight orders to engine stand-ins on loopback."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

import click
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import tcp

from yuccarill.core.blackboard import Blackboard
from yuccarill.core.config import reader
from yuccarill.core.config import snapshot
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.membership.instances import Instance
from yuccarill.core.weights import orders
from yuccarill.daemon.adapters import engine_weights
from yuccarill.daemon.adapters import http
from yuccarill.daemon.controllers import targets
from yuccarill.daemon.controllers import weights
from yuccarill.wire import frames
from yuccarill.wire import messages

IDLE_SECONDS = 20.0
SWITCH_SECONDS = 60.0
START_SECONDS = 10.0
MODEL = ModelName('m')


class ByteCount:
    """Count the bytes of this process's TCP connections."""

    def __init__(self) -> None:
        self.total = 0
        send = tcp.Connection.writeSomeData

        def write_some(connection: Any, data: bytes) -> Any:
            sent = send(connection, data)
            self.total += max(0, sent) if isinstance(sent, int) else 0
            return sent

        def received(connection: Any, data: bytes) -> Any:
            self.total += len(data)
            return self._received(connection, data)

        self._received = tcp.Connection._dataReceived
        tcp.Connection.writeSomeData = write_some
        tcp.Connection._dataReceived = received


class HeldLeases:
    """Lease stub in which this instance holds every lease."""

    def __init__(self, me: Instance) -> None:
        self._me = me

    def epoch_for(self, duty: str) -> Epoch:
        return Epoch(1)

    def holder_of(self, duty: str) -> Instance:
        return self._me


class FixedStore:
    """Weight store stub with a settable newest version."""

    def __init__(self) -> None:
        self.version = WeightVersion(1)

    async def newest(self, model: ModelName) -> WeightVersion:
        return self.version


def run(engines: int) -> None:
    """Measure with a number of engines and print the results."""
    failed: list[Any] = []
    with tempfile.TemporaryDirectory() as folder:
        stand_ins = _start(pathlib.Path(folder), engines)
        try:
            reactor.callWhenRunning(_begin, pathlib.Path(folder), failed)
            reactor.run()
        finally:
            stand_ins.kill()
            stand_ins.wait()
    if failed:
        raise SystemExit(str(failed[0]))


def _begin(folder: pathlib.Path, failed: list[Any]) -> None:
    work = defer.ensureDeferred(_measure(folder))
    work.addErrback(failed.append)
    work.addBoth(lambda _: reactor.stop())


def _start(folder: pathlib.Path, engines: int) -> subprocess.Popen[bytes]:
    example = folder / 'example.toml'
    text = f'[[models]]\nname = "{MODEL}"\nserving_part = 0.8\n'
    for number in range(engines):
        text += (
            f'[[engines]]\nid = "e{number}"\nmodel = "{MODEL}"\n'
            f'address = "127.0.0.1:1"\ndata_centre = "dc{number % 11}"\n'
        )
    example.write_text(text)
    process = subprocess.Popen(
        [sys.executable, '-m', 'yuccarill.standins', example, folder]
    )
    deadline = time.monotonic() + START_SECONDS
    while not (folder / 'platform.json').exists():
        if time.monotonic() > deadline:
            raise SystemExit('The stand-ins did not start in time.')
        time.sleep(0.1)
    return process


async def _measure(folder: pathlib.Path) -> None:
    document = json.loads((folder / 'inventory.json').read_text())
    engine_count = len(document['engines'])
    inventory = reader.from_decoded(document)
    me = Instance(
        id=InstanceId('i'),
        data_centre=DataCentreId('dc0'),
        host='127.0.0.1',
        http_port=1,
        peer_port=1,
    )
    head = snapshot.from_inventory(inventory)
    blackboard = Blackboard(own_instance=me, snapshot=head)
    leases: Any = HeldLeases(me)
    store: Any = FixedStore()
    adapter = engine_weights.EngineWeightsAdapter(http.HttpClient())
    unused: Any = None
    holder = targets.TargetController(
        blackboard, leases, adapter, unused, reactor
    )
    planner = weights.WeightController(
        blackboard, leases, store, holder, unused, 500.0, reactor
    )
    count = ByteCount()
    for controller in (holder, planner):
        defer.ensureDeferred(controller.follow()).addErrback(click.echo)
    await _wait_until(
        lambda: len(blackboard.targets_by_id) == len(document['engines'])
    )
    await _sleep(2.0)
    idle = await _measure_cost(count, _sleep(IDLE_SECONDS))
    click.echo(
        f'{engine_count} engines read: '
        f'{idle[0] / IDLE_SECONDS * 100:.2f}% of a core, '
        f'{idle[1] / IDLE_SECONDS:.0f} B/s'
    )
    store.version = WeightVersion(2)
    started_at = time.monotonic()
    spent = await _measure_cost(
        count,
        _wait_until(
            lambda: all(
                state.weight_version == 2
                for state in blackboard.targets_by_id.values()
            )
        ),
    )
    seconds = time.monotonic() - started_at
    # Excludes the cost of reading engine states in the same time.
    share = seconds / IDLE_SECONDS
    orders_sent = 2 * engine_count
    cpu = (spent[0] - idle[0] * share) / orders_sent
    size = (spent[1] - idle[1] * share) / orders_sent
    click.echo(
        f'{orders_sent} orders in {seconds:.1f} s: {cpu * 1000:.2f} ms and '
        f'{size:.0f} B each (HTTP), without reading'
    )
    _print_peer_bytes()


def _print_peer_bytes() -> None:
    target = TargetId('engine-0001')
    order = orders.Order(
        1 << 32, target, orders.OrderKind.STAGE, WeightVersion(2)
    )
    report = orders.Report(
        target=target,
        epoch=Epoch(1),
        sequence=1,
        is_reachable=True,
        is_busy=False,
        weight_version=WeightVersion(1),
        staged_version=WeightVersion(2),
        order_number=1 << 32,
        outcome=orders.OrderOutcome.DONE,
    )
    for count in (1, 20):
        ordered = messages.WeightOrders(
            model=MODEL, epoch=Epoch(1), orders=(order,) * count
        )
        reported = messages.WeightReports(
            model=MODEL, reports=(report,) * count
        )
        sizes = [
            len(frames.encode(messages.Envelope(1, False, body)))
            for body in (ordered, reported)
        ]
        click.echo(
            f'peer messages of {count}: orders {sizes[0]} B, '
            f'reports {sizes[1]} B'
        )


async def _measure_cost(count: ByteCount, work: Any) -> tuple[float, int]:
    cpu, size = time.process_time(), count.total
    await work
    return time.process_time() - cpu, count.total - size


async def _wait_until(is_met: Any) -> None:
    deadline = time.monotonic() + SWITCH_SECONDS
    while not is_met():
        if time.monotonic() > deadline:
            raise SystemExit('The engines did not change state in time.')
        await _sleep(0.1)


async def _sleep(seconds: float) -> None:
    await task.deferLater(reactor, seconds, lambda: None)
