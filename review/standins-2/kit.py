"""Start gateways beside the stand-ins, and call them as clients do."""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = next(folder for folder in pathlib.Path(__file__).resolve().parents
            if (folder / 'deploy' / 'system.toml').exists())
HOST = 'ficu95.example'
# The command and the variables of deploy/system.toml.
GATEWAY = ['python3', '-m', 'yuccarill.daemon.gateway']
VARIABLES = {'YUCCARILL_CAPACITY': 'shared', 'YUCCARILL_PLACEMENT': 'finish'}
SETTINGS = '''node=front-z1-{number}
role=gateway
machineClass=front
serves=front,directory
ip={ip}
zone=z1
region=r1
zones.z1=r1
listen.front={ip}:8149
listen.ready={ip}:8141
listen.directory={ip}:8143
portRange=7380,7395
firstStart=true
inFaultBudget=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=directory
heartbeatMs=1200
contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform
faultTolerance.machines=1
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
bounds.finishS=10
bounds.statusS=120
bounds.cancelMs=3000
bounds.settleMs=1000
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
'''
CONFIG_LIMITS = {'maxHeaderBytes': 16384, 'maxBodyBytes': 33554432,
                 'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}


class NotRunnable(Exception):
    """The case could not run."""


def call(address, method, path, body=b'', headers=None, seconds=10.0):
    """Send one request over a new connection: status, headers, body."""
    connection = http.client.HTTPConnection(address, timeout=seconds)
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.headers), answer.read()
    finally:
        connection.close()


def free_net():
    """Return the first three numbers of loopback addresses without a user."""
    for _ in range(200):
        net = '127.%d.%d' % (random.randint(20, 219), random.randint(1, 250))
        try:
            for last, port in ((2, 8142), (3, 9000), (11, 8149), (11, 9464)):
                with socket.socket() as probe:
                    probe.bind(('%s.%d' % (net, last), port))
            return net
        except OSError:
            continue
    raise NotRunnable('no loopback addresses are free')


class Site:
    """The stand-ins and the gateways of one case, each its own process."""

    def __init__(self, record, trouble, workers, routes, services,
                 gateways=3, bounds=None):
        self.trouble = trouble
        self.net = free_net()
        self.store = self.net + '.2:8142'
        self.control = self.net + '.3:9000'
        self.temporary = tempfile.mkdtemp()
        self.processes = {}
        self.outputs = []
        self.count = gateways
        self.bounds = bounds or {}
        self._record = pathlib.Path(record).open('w', buffering=1)
        self._site_log = pathlib.Path(self.temporary) / 'site.log'
        self.spec = {
            'store': self.store, 'control': self.control,
            'log': str(self._site_log), 'seconds': 115,
            'config': {'version': 1, 'routes': routes, 'services': services,
                       'limits': CONFIG_LIMITS}}
        self.set_workers(workers)
        self.record('trouble: %s' % self.trouble)

    def set_workers(self, workers):
        for index, worker in enumerate(workers):
            worker['address'] = '%s.%d:8080' % (self.net, 101 + index)
        self.spec['workers'] = workers

    def record(self, text):
        self._record.write('%.3f %s\n' % (time.time(), text))

    def start(self):
        path = pathlib.Path(self.temporary) / 'site.json'
        path.write_text(json.dumps(self.spec))
        site = pathlib.Path(__file__).resolve().with_name('site.py')
        self._spawn('site', [sys.executable, str(site), str(path)], {})
        self._wait(lambda: call(self.control, 'GET', '/')[0] == 200)
        for number in range(1, self.count + 1):
            self.start_gateway(number)
        for number in range(1, self.count + 1):
            self.wait_ready(number)

    def ip(self, number):
        return '%s.%d' % (self.net, 10 + number)

    def front(self, number):
        return self.ip(number) + ':8149'

    def start_gateway(self, number):
        path = pathlib.Path(self.temporary) / ('gateway-%d.conf' % number)
        text = SETTINGS.format(
            number=number, ip=self.ip(number), store=self.store)
        # A later line of the same name holds.
        text += ''.join('bounds.%s=%s\n' % bound
                        for bound in self.bounds.items())
        path.write_text(text)
        self._spawn('gateway-%d' % number, GATEWAY, dict(
            VARIABLES, YUCCARILL_NODE_FILE=str(path),
            PYTHONPATH=str(ROOT / 'target' / 'deps')))

    def wait_ready(self, number):
        address = self.ip(number) + ':8141'
        self._wait(lambda: call(address, 'GET', '/api/ready')[0] == 200)

    def command(self, path, **body):
        status, _, answer = call(self.control, 'POST', path,
                                 json.dumps(body).encode())
        if status != 200:
            raise NotRunnable('the stand-ins answered %d' % status)
        return json.loads(answer)

    def runs(self):
        """Return how often workers began to run each request."""
        found = {}
        for runs in self.command('/runs')['runs'].values():
            for number, count in runs.items():
                found[number] = found.get(number, 0) + count
        return found

    def signal(self, number, signal_number):
        self.processes['gateway-%d' % number].send_signal(signal_number)
        self.record('gateway %d gets %s'
                    % (number, signal.Signals(signal_number).name))

    def log_of(self, number):
        path = pathlib.Path(self.temporary) / ('gateway-%d.out' % number)
        return path.read_text(errors='replace')

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if self._site_log.exists():
            self._record.write('--- the stand-ins ---\n')
            self._record.write(self._site_log.read_text())
        for output in self.outputs:
            output.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary)

    def _spawn(self, name, words, variables):
        output = (pathlib.Path(self.temporary) / (name + '.out')).open('ab')
        self.outputs.append(output)
        kept = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG')
                if key in os.environ}
        self.processes[name] = subprocess.Popen(
            words, cwd=ROOT, stdout=output, stderr=output,
            env=dict(kept, **variables))

    def _wait(self, check, seconds=30.0):
        ends_at = time.monotonic() + seconds
        while True:
            try:
                if check():
                    return
            except (OSError, http.client.HTTPException):
                pass
            if time.monotonic() > ends_at:
                raise NotRunnable('a process was not ready in time')
            time.sleep(0.05)


def main(site, run):
    """Run a case; exit with 1 if its rule was broken, 2 if it couldn't run."""
    code = 2
    try:
        site.start()
        code = 1 if run(site) else 0
    except (NotRunnable, OSError, http.client.HTTPException) as error:
        site.record('the case could not run: %r' % error)
    finally:
        site.stop()
        site.record('exit code %d' % code)
    sys.exit(code)
