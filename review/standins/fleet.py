"""Start gateways with the deploy file's command, beside the stand-ins."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http_server

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('upper-hill', 'westlands', 'embakasi')
# Fields and figures of a small site's settings; see DEPLOY.md of the pages.
SETTINGS = """node={name}
role=gateway
machineClass=front
serves=front,directory
ip={ip}
zone={zone}
region=nairobi
zones.upper-hill=nairobi
zones.westlands=nairobi
zones.embakasi=nairobi
listen.front={ip}:8161
listen.ready={ip}:8167
listen.directory={ip}:8164
portRange=7720,7735
firstStart=true
inFaultBudget=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=150
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=directory
heartbeatMs=1200
contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4.8
bounds.drainMs=2000
bounds.graceS=8
bounds.lostSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoveryS=12
bounds.passMs=120
bounds.againS=0
bounds.finishS=10
bounds.statusS=120
bounds.cancelMs=3000
bounds.settleMs=1000
bounds.quotaOver=0.1
bounds.fencing=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.ttl_max_s=5
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


class CannotRun(Exception):
    """Report that the case could not be played."""


class Record:
    """Write what was sent, answered and run, with the time."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def __call__(self, text):
        seconds = time.monotonic() - self._began
        self._file.write(f'{seconds:9.3f} {text}\n')
        self._file.flush()


def claim_network():
    """Return a network 127.N in which the fronts' port is free."""
    numbers = list(range(30, 220))
    random.shuffle(numbers)
    for number in numbers:
        claim = socket.socket()
        try:
            claim.bind((f'127.{number}.0.1', 8161))
        except OSError:
            claim.close()
            continue
        return f'127.{number}', claim
    raise CannotRun('no free loopback network')


class Fleet:
    """Run gateways as processes; each has a store address of its own."""

    def __init__(self, store, record, counts=(3, 3, 2)):
        self.store = store
        self.record = record
        self.net, self._claim = claim_network()
        self.folder = tempfile.TemporaryDirectory()
        self.names = [
            f'front-{zone}-{number}'
            for zone, count in zip(ZONES, counts)
            for number in range(1, count + 1)
        ]
        self.store_addresses = {}
        self._processes = {}

    def ip(self, name):
        return f'{self.net}.1.{self.names.index(name) + 1}'

    def zone(self, name):
        return name.removeprefix('front-').rpartition('-')[0]

    def address(self, name):
        return f'{self.ip(name)}:8161'

    async def start(self):
        for name in self.names:
            host = f'{self.net}.2.{self.names.index(name) + 1}'
            self.store_addresses[name] = await self.store.listen(host)
        for name in self.names:
            self.start_process(name)
        for name in self.names:
            await self._wait_ready(name)

    def start_process(self, name):
        path = pathlib.Path(self.folder.name) / f'{name}.conf'
        path.write_text(
            SETTINGS.format(
                name=name,
                ip=self.ip(name),
                zone=self.zone(name),
                store=self.store_addresses[name],
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': 'target/deps',
            'PYTHONDONTWRITEBYTECODE': '1',
            'YUCCARILL_NODE_FILE': str(path),
            **role['env'],
        }
        log = open(self.log_path(name), 'ab')
        self._processes[name] = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def log_path(self, name):
        return pathlib.Path(self.folder.name) / f'{name}.log'

    def log(self, name):
        return self.log_path(name).read_text(errors='replace')

    async def _wait_ready(self, name, seconds=30.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answer = await http_server.call(
                f'{self.ip(name)}:8167', 'GET', '/api/ready', seconds=1.0
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{name} is not ready:\n{self.log(name)[-2000:]}')

    def send_signal(self, name, number):
        self.record(f'{signal.Signals(number).name} to {name}')
        self._processes[name].send_signal(number)

    async def restart(self, name):
        self._processes[name].wait()
        self.start_process(name)

    def is_running(self, name):
        return self._processes[name].poll() is None

    def holder(self, service):
        """Return the gateway that the store names as a duty's holder."""
        value = self.store.value(f'fleet/duties/{service}')
        for name in self.names:
            if value is not None and name.encode() in value:
                return name
        return None

    def stop(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._claim.close()
        self.folder.cleanup()


async def wait_until(condition, seconds, what):
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= until:
            raise CannotRun(f'{what} did not come about')
        await asyncio.sleep(0.05)


async def _run_until_stopped(main, seconds):
    # A stopped case ends its processes too: `main` does so when cancelled.
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(asyncio.wait_for(main(), seconds))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await task


def run_case(main, seconds=115.0):
    """Run a case within its time; exit with its verdict."""
    try:
        verdict = asyncio.run(_run_until_stopped(main, seconds))
    except (
        CannotRun,
        asyncio.CancelledError,
        asyncio.TimeoutError,
        OSError,
    ) as error:
        print(f'could not run: {error!r}')
        verdict = 2
    sys.stdout.flush()
    os._exit(verdict)
