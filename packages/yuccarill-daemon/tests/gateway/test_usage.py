"""Test that the usage of each window is reported once despite failures.

The simulated platform has windows of 5 s, due 10 s after their end. It records
differing reports of a window and outdated fencing tokens as violations.
Four instances count requests; one of them holds the reporting duty.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from unittest import mock

import msgspec
from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.accounts import directory
from yuccarill.core.gateway import routes
from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Instant
from yuccarill.core.usage.windows import UsagePolicy
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.duty import holder_calls
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon.gateway.store import observer
from yuccarill.daemon.gateway.usage import parts
from yuccarill.platform import settings_file

from . import memory_store
from . import world

NAMES = ('a', 'b', 'c', 'd')
WINDOW = 5.0
LATE = 10.0
# Wall time at the start of a test: the start of a window.
START = 1_000_000_000.0
# Seconds around a window's end without requests, since the clocks of simulated
# instances differ by the time step of 10 ms.
BORDER = 0.03
# Requests per second of all clients together.
RATE = 7.0


@dataclasses.dataclass
class Platform:
    """Accept reports and record violations of the platform's rules."""

    clock: task.Clock
    counts_by_window: dict[int, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    first_at: dict[int, float] = dataclasses.field(default_factory=dict)
    calls: list[tuple[float, str, int]] = dataclasses.field(
        default_factory=list
    )
    violations: list[str] = dataclasses.field(default_factory=list)
    # Faults of the next calls.
    status: int = 200
    loses_answers: bool = False
    is_silent: bool = False
    seconds: float = 0.004

    async def exchange(
        self,
        address: str,
        request: http_exchange.OutgoingRequest,
        deadline: Instant,
    ) -> http_exchange.Reply:
        await task.deferLater(self.clock, self.seconds)
        if self.is_silent:
            left = max(0.0, deadline - self.clock.seconds())
            await task.deferLater(self.clock, left)
            raise http_exchange.ExchangeFailed('silent')
        if self.status == 200:
            self._accept(request)
        if self.loses_answers:
            raise http_exchange.ExchangeFailed('lost')
        head = http_exchange.ReplyHead(status=self.status, headers=())
        return http_exchange.Reply(head=head, body=b'')

    def _accept(self, request: http_exchange.OutgoingRequest) -> None:
        headers = dict(request.headers)
        body = msgspec.json.decode(request.body)
        holder, token = headers['Duty-Holder'], int(headers['Fence-Token'])
        now = self.clock.seconds()
        if self.calls and token < self.calls[-1][2]:
            self.violations.append(f'{now}: token {token} after a higher one')
        for at, other, _ in self.calls:
            if other != holder and now - at < 3.0:
                self.violations.append(
                    f'{now}: {holder} within 3 s of {other}'
                )
        self.calls.append((now, holder, token))
        window, counts = body['window'], body['counts']
        known = self.counts_by_window.setdefault(window, counts)
        if known != counts:
            self.violations.append(
                f'{now}: window {window} with different counts'
            )
        self.first_at.setdefault(window, now)


@dataclasses.dataclass
class Instance:
    """Hold the components of one process."""

    state: state_module.GatewayState
    store: memory_store.MemoryStore
    usage: parts.UsageParts
    following: list[defer.Deferred]
    is_dead: bool = False


class UsageWorld(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.platform = Platform(self.clock)
        self.instances_by_name: dict[str, Instance] = {}
        # Errors of the wall clocks in seconds.
        self.clock_error_by_name: dict[str, float] = collections.defaultdict(
            float
        )
        self.generator = random.Random(1)
        # Number of requests that began, by window and account.
        self.began_by_window: dict[int, dict[str, int]] = {}
        for name in NAMES:
            self.start(name)
        # Wait until all instances know each other.
        self.pass_time(2.0, rate=0.0)

    def start(self, name: str) -> Instance:
        store = self.store()
        state = self.state(name)
        state.is_current = False
        state.route_table = routes.RouteTable(
            1, [], [], routes.ClientLimits(), directory.AccountDirectory(())
        )
        for each in NAMES:
            world.list_instance(state, each)
        watching = observer.Observer(state, lambda: store, self.clock)
        settings = settings_file.UsageSettings(
            address='billing:1',
            policy=UsagePolicy(window=WINDOW, due_after=LATE),
        )
        with mock.patch(
            'yuccarill.daemon.gateway.usage.clock.FleetClock.__init__.'
            '__defaults__',
            (lambda: self.wall(name),),
        ):
            usage = parts.UsageParts(
                settings,
                state,
                store,
                Links(self, name),
                holder_calls.HolderCalls(
                    state, peer_call.PeerCalls(Links(self, name), self.clock)
                ),
                self.clock,
            )
        watching.add_listener(usage.duty.update)
        following = [
            defer.ensureDeferred(w) for w in watching.follow_coroutines()
        ]
        for each in following:
            each.addErrback(lambda failure: failure.trap(Exception))
            self.addCleanup(each.cancel)
        instance = Instance(state, store, usage, following)
        self.instances_by_name[name] = instance
        usage.start()
        return instance

    def wall(self, name: str) -> float:
        return START + self.clock.seconds() + self.clock_error_by_name[name]

    def kill(self, name: str) -> None:
        """Stop all activity of a process."""
        instance = self.instances_by_name[name]
        instance.is_dead = True
        instance.store.drops_calls = True
        instance.usage.counter.stop()
        instance.usage.reporter.stop()
        for each in instance.following:
            each.cancel()

    def restart(self, name: str) -> None:
        self.kill(name)
        self.start(name)

    def holder(self) -> str:
        (name,) = (
            name
            for name, each in self.instances_by_name.items()
            if not each.is_dead and each.usage.duty.is_held()
        )
        return name

    def other(self) -> str:
        return next(name for name in NAMES if name != self.holder())

    def pass_time(self, seconds: float, rate: float = RATE) -> None:
        """Advance the clock with requests at a rate per second."""
        for _ in range(round(seconds / 0.01)):
            if self.generator.random() < rate * 0.01:
                self.request()
            self.run_for(0.01)

    def request(self) -> None:
        alive = [
            each
            for each in self.instances_by_name.values()
            if not each.is_dead
        ]
        offset = (START + self.clock.seconds()) % WINDOW
        if not alive or not BORDER < offset < WINDOW - BORDER:
            return
        account = self.generator.choice('xyz')
        self.generator.choice(alive).usage.record_start(
            AccountName(account), Instant(self.clock.seconds())
        )
        window = int((START + self.clock.seconds()) // WINDOW)
        counts = self.began_by_window.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1

    def count_difference(self, window: int) -> int:
        """Return by how many requests a report differs from those sent."""
        reported = self.platform.counts_by_window.get(window, {})
        begun = self.began_by_window.get(window, {})
        return sum(
            abs(reported.get(each, 0) - begun.get(each, 0)) for each in 'xyz'
        )

    def late_windows(self, windows: set[int]) -> list[int]:
        """Return the windows that were not reported by their due time."""
        return [
            window
            for window in sorted(windows)
            if self.platform.first_at.get(window, 1e9)
            > (window + 1) * WINDOW + LATE - START
        ]

    def due_windows(self) -> set[int]:
        """Return the windows whose reports are due."""
        now = START + self.clock.seconds()
        return {
            w for w in self.began_by_window if (w + 1) * WINDOW + LATE < now
        }

    def assert_reported(self, lost: int = 0) -> None:
        """Check reports: once each, in time, at most `lost` requests off."""
        windows = self.due_windows()
        self.assertEqual([], self.platform.violations)
        self.assertEqual([], self.late_windows(windows))
        self.assertLessEqual(
            sum(self.count_difference(w) for w in windows), lost
        )
        self.assertGreaterEqual(len(windows), 2)


class Links:
    """Carry calls to the platform and between the instances."""

    def __init__(self, usage_world: UsageWorld, name: str) -> None:
        self._world = usage_world
        self._name = name

    async def exchange(
        self,
        address: str,
        request: http_exchange.OutgoingRequest,
        deadline: Instant,
    ) -> http_exchange.Reply:
        if self._world.instances_by_name[self._name].is_dead:
            await defer.Deferred()
        if address == 'billing:1':
            return await self._world.platform.exchange(
                address, request, deadline
            )
        await task.deferLater(self._world.clock, 0.001)
        peer = self._world.instances_by_name[address.partition(':')[0]]
        if peer.is_dead:
            raise http_exchange.NotConnected('dead')
        asked = small_server.SmallRequest(
            method=request.method, target=request.target, body=request.body
        )
        page = small_server.SmallResponse(status=200)
        if not asked.path == holder_calls.PATH:
            page = await peer.usage.handle(asked)
        head = http_exchange.ReplyHead(status=page.status, headers=())
        return http_exchange.Reply(head=head, body=page.body)


class NoFaultTest(UsageWorld):
    def test_each_window_is_reported_once_and_in_time(self) -> None:
        self.pass_time(40.0)
        self.assert_reported()
        self.assertEqual(
            len(self.platform.calls), len(self.platform.counts_by_window)
        )

    def test_reports_come_in_order(self) -> None:
        self.pass_time(30.0)
        windows = list(self.platform.counts_by_window)
        self.assertEqual(sorted(windows), windows)

    def test_calls_of_the_store_are_few(self) -> None:
        # At most one write per second, and one per report.
        before = self.keys.revision
        self.pass_time(40.0)
        self.assertLessEqual(self.keys.revision - before, 40 + 8 + 2)


class HolderTest(UsageWorld):
    """The holder exits at each step of the report of a window."""

    # Seconds into a window: while requests are counted, as the report is
    # created, recorded and sent, and afterwards.
    @params(0.5, 2.4, 2.45, 2.5, 2.55, 2.6, 2.65, 2.7, 2.75, 2.8, 3.5, 4.9)
    def test_a_holder_that_is_killed(self, at: float) -> None:
        """Guard against double reports after a crash between record and send.

        Only counts that the killed process had not written may be lost.
        """
        self.pass_time(13.0 + at)
        self.kill(self.holder())
        self.pass_time(45.0)
        # Counts of the killed process since its last write.
        self.assert_reported(lost=4)

    @params(0.5, 2.5, 2.6, 2.7, 4.9)
    def test_a_holder_that_restarts(self, at: float) -> None:
        self.pass_time(13.0 + at)
        self.restart(self.holder())
        self.pass_time(45.0)
        self.assert_reported(lost=4)

    def test_a_counting_process_is_killed(self) -> None:
        self.pass_time(13.0)
        self.kill(self.other())
        self.pass_time(30.0)
        # Counts of the killed process since its last message to the holder.
        self.assert_reported(lost=2)

    def test_a_rolling_restart(self) -> None:
        """Guard against losing counts when all processes restart in turn."""
        self.pass_time(13.0)
        for name in NAMES:
            self.restart(name)
            self.pass_time(6.0)
        self.pass_time(20.0)
        self.assert_reported(lost=12)

    def test_all_are_killed_at_once(self) -> None:
        """Guard against losing more than the counts since the last write."""
        self.pass_time(18.0)
        for name in NAMES:
            self.kill(name)
        self.pass_time(1.0, rate=0.0)
        for name in NAMES:
            self.start(name)
        self.pass_time(45.0)
        self.assert_reported(lost=12)
        self.assertLessEqual(
            sum(self.count_difference(w) > 0 for w in self.due_windows()), 1
        )


class PlatformTest(UsageWorld):
    """The platform's interface for reports fails."""

    def run_with_fault(self, fault: dict[str, object]) -> None:
        self.pass_time(14.0)
        old_values = {name: getattr(self.platform, name) for name in fault}
        for name, value in fault.items():
            setattr(self.platform, name, value)
        self.pass_time(6.0)
        for name, value in old_values.items():
            setattr(self.platform, name, value)
        self.pass_time(30.0)

    @params(
        {'status': 429},
        {'status': 503},
        {'loses_answers': True},
        {'is_silent': True},
        {'seconds': 0.4},
        {'seconds': 3.0},
    )
    def test_a_fault_of_several_seconds(
        self, fault: dict[str, object]
    ) -> None:
        self.run_with_fault(fault)
        self.assert_reported()

    def test_a_holder_that_is_killed_while_answers_are_lost(self) -> None:
        """Guard against a second, different report by the next holder."""
        self.pass_time(14.0)
        self.platform.loses_answers = True
        self.pass_time(4.0)
        self.kill(self.holder())
        self.platform.loses_answers = False
        self.pass_time(45.0)
        self.assert_reported(lost=4)


class StoreTest(UsageWorld):
    """The store fails while reports are created."""

    def set_store_faults(self, **fault: bool) -> None:
        for each in self.instances_by_name.values():
            if not each.is_dead:
                for name, value in fault.items():
                    setattr(each.store, name, value)

    @params('rejects_calls', 'drops_calls', 'loses_replies')
    def test_a_fault_of_several_seconds(self, fault: str) -> None:
        self.pass_time(14.0)
        self.set_store_faults(**{fault: True})
        self.pass_time(3.0)
        self.set_store_faults(**{fault: False})
        self.pass_time(40.0)
        self.assert_reported()

    @params('rejects_calls', 'drops_calls')
    def test_a_holder_lost_while_the_store_is_unavailable(
        self, fault: str
    ) -> None:
        self.pass_time(14.0)
        self.set_store_faults(**{fault: True})
        self.kill(self.holder())
        self.pass_time(4.0)
        self.set_store_faults(**{fault: False})
        self.pass_time(45.0)
        # The report can be late, but is never sent with different counts.
        self.assertEqual([], self.platform.violations)
        self.assertLessEqual(
            sum(self.count_difference(w) for w in self.due_windows()), 4
        )

    def test_a_lease_that_runs_out_under_its_holder(self) -> None:
        self.pass_time(14.0)
        for lease in list(self.keys.ends_by_lease):
            self.keys.ends_by_lease[lease] = 0.0
        self.pass_time(40.0)
        self.assert_reported()


class ClockTest(UsageWorld):
    """Wall clocks jump, while windows follow the fleet's time."""

    # Instances whose clocks jump, and the jump in seconds.
    @params(
        ('holder', 2.0),
        ('holder', -2.0),
        ('other', 2.0),
        ('other', -2.0),
        ('both', 2.0),
        ('both', -2.0),
    )
    def test_clocks_that_jump_and_jump_back(
        self, who: str, seconds: float
    ) -> None:
        self.pass_time(12.0)
        names = {
            'holder': [self.holder()],
            'other': [self.other()],
            'both': [self.holder(), self.other()],
        }[who]
        for name in names:
            self.clock_error_by_name[name] = seconds
        self.pass_time(12.0)
        self.clock_error_by_name.clear()
        self.pass_time(25.0)
        self.assert_reported()

    def test_a_process_that_starts_with_a_wrong_clock(self) -> None:
        self.pass_time(12.0)
        name = self.other()
        self.clock_error_by_name[name] = 2.0
        self.restart(name)
        # Until the holder answers, the process counts by its own wall clock.
        self.pass_time(1.0, rate=0.0)
        self.pass_time(30.0)
        self.assert_reported(lost=2)

    def test_a_holder_that_is_killed_while_its_clock_is_off(self) -> None:
        self.pass_time(12.0)
        holder = self.holder()
        self.clock_error_by_name[holder] = 2.0
        self.pass_time(2.0)
        self.kill(holder)
        self.pass_time(45.0)
        self.assert_reported(lost=4)
