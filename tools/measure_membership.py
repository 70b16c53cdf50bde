"""Measure membership in one process on a simulated clock.

Runs the real controllers on the in-memory network of the tests, and a naive
design where every instance probes all others and reads the list each second.
"""

from __future__ import annotations

import argparse
import collections
import heapq
import itertools
import pathlib
import sys
import time
from typing import Any

from twisted.internet import defer

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'packages/yuccarill-daemon/tests'))

from controllers import memory_fleet  # noqa: E402

from yuccarill.core.membership.member import MemberState  # noqa: E402
from yuccarill.wire import frames  # noqa: E402
from yuccarill.wire import messages  # noqa: E402

SIZES = (6, 24, 96, 410)
CENTRES = 11
SETTLE_SECONDS = 8.0
STEADY_SECONDS = 10.0
LOSS_SECONDS = 30.0
LOSS_RATE = 0.01
TRIALS = 3
DETECTION_TIMEOUT_SECONDS = 20.0
NAIVE_SECONDS = 2.0
STEP_SECONDS = 0.05


class DelayedCall:
    """Store one scheduled call."""

    def __init__(self, at: float, function: Any) -> None:
        self.at = at
        self.function = function

    def active(self) -> bool:
        return self.function is not None

    def cancel(self) -> None:
        self.function = None


class HeapClock:
    """Run delayed calls from a heap, faster than twisted's task.Clock."""

    def __init__(self) -> None:
        self._now = 0.0
        self._order = itertools.count()
        self._calls: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        return self._now

    def callLater(self, delay, function, *args):  # noqa: N802
        call = DelayedCall(self._now + delay, lambda: function(*args))
        heapq.heappush(self._calls, (call.at, next(self._order), call))
        return call

    def advance(self, seconds: float) -> None:
        end = self._now + seconds
        while self._calls and self._calls[0][0] <= end:
            self._now, _, call = heapq.heappop(self._calls)
            function, call.function = call.function, None
            if function is not None:
                function()
        self._now = end


class NaiveProcess:
    """Probe every listed instance and read the list each second."""

    def __init__(
        self, fleet: memory_fleet.Fleet, process: memory_fleet.Process
    ) -> None:
        self._fleet = fleet
        self._process = process
        process.controller = self

    async def handle(self, body: messages.Probe) -> messages.ProbeReply:
        return messages.ProbeReply(digest=0)

    def tick(self) -> None:
        for instance in self._fleet.read_list(self._process.me.id):
            if instance.id != self._process.me.id:
                probe = messages.Probe(sender=self._process.me.id, digest=0)
                reply = self._process.request(instance, probe, 0.5)
                defer.ensureDeferred(reply).addErrback(lambda _: None)
        self._fleet.clock.callLater(1.0, self.tick)


class NaiveFleet(memory_fleet.Fleet):
    """Start naive processes instead of the real ones."""

    def start_controller(self, process: memory_fleet.Process) -> None:
        naive = NaiveProcess(self, process)
        self.clock.callLater(self.random_source.random(), naive.tick)


class MessageCounter:
    """Count messages and their encoded bytes by kind."""

    def __init__(self, fleet: memory_fleet.Fleet) -> None:
        self._fleet = fleet
        self.messages: collections.Counter[str] = collections.Counter()
        self.bytes = 0
        fleet.on_message = self.add

    def add(self, body: messages.Body) -> None:
        self.messages[type(body).__name__] += 1
        self.bytes += len(frames.encode(messages.Envelope(1000, False, body)))


def _start_fleet(size: int) -> memory_fleet.Fleet:
    fleet = memory_fleet.Fleet(size, centres=CENTRES, clock=HeapClock())
    fleet.pass_time(SETTLE_SECONDS)
    return fleet


def _rates(fleet: memory_fleet.Fleet, size: int, seconds: float) -> str:
    # Runs twice, since counting encodes messages and uses processor time.
    started_at = time.process_time()
    fleet.pass_time(seconds)
    share = (time.process_time() - started_at) / seconds / size
    count = MessageCounter(fleet)
    fleet.list_reads = 0
    fleet.pass_time(seconds)
    sent = sum(count.messages.values()) / seconds / size
    return (
        f'{sent:8.1f} messages/s, {count.bytes / seconds / size:9.0f} B/s, '
        f'{100 * share:7.3f}% of a core, '
        f'{fleet.list_reads / seconds:6.1f} list reads/s in all'
    )


def print_idle(size: int) -> None:
    """Print the traffic and processor time of an idle fleet."""
    rates = _rates(_start_fleet(size), size, STEADY_SECONDS)
    print(f'{size:4} instances: {rates}')
    fleet = NaiveFleet(size, centres=CENTRES, clock=HeapClock())
    fleet.pass_time(1.0)
    print(f'      naive way: {_rates(fleet, size, NAIVE_SECONDS)}')


def _known_after(fleet: memory_fleet.Fleet, name: str) -> float:
    started_at = fleet.clock.seconds()
    while fleet.clock.seconds() - started_at < DETECTION_TIMEOUT_SECONDS:
        fleet.clock.advance(STEP_SECONDS)
        if all(
            process.controller._view.members_by_id[name].state
            is not MemberState.ALIVE
            for process in fleet.up()
            if process.me.id != name and not process.clock.is_paused
        ):
            break
    return fleet.clock.seconds() - started_at


def print_detection(size: int) -> None:
    """Print the time until all instances detect the end of one."""
    fleet = _start_fleet(size)
    names = iter(list(fleet.processes_by_id))
    worst: dict[str, float] = collections.defaultdict(float)
    for _ in range(min(TRIALS, size // 6)):
        name = next(names)
        fleet.processes_by_id[name].controller.leave()
        worst['leaving'] = max(worst['leaving'], _known_after(fleet, name))
        name = next(names)
        fleet.crash(name)
        worst['crash'] = max(worst['crash'], _known_after(fleet, name))
        name = next(names)
        fleet.processes_by_id[name].clock.is_paused = True
        worst['silence'] = max(worst['silence'], _known_after(fleet, name))
    shown = ', '.join(f'{end} {s:.2f} s' for end, s in worst.items())
    print(f'{size:4} instances, known everywhere after, worst: {shown}')


def print_crashes(size: int) -> None:
    """Print the cost of a tenth of the fleet crashing at once."""
    fleet = _start_fleet(size)
    names = list(fleet.processes_by_id)[: max(1, size // 10)]
    count = MessageCounter(fleet)
    for name in names:
        fleet.crash(name)
    started_at = fleet.clock.seconds()
    for name in names:
        _known_after(fleet, name)
    seconds = fleet.clock.seconds() - started_at
    share = count.bytes / size
    print(
        f'{size:4} instances, {len(names)} crash at once: known everywhere '
        f'after {seconds:.2f} s, {share:.0f} B an instance in all'
    )


def print_losses(size: int) -> None:
    """Print the false suspicions under message loss."""
    fleet = _start_fleet(size)
    suspected = 0

    def watch(mark: Any) -> Any:
        def marked(name: Any, state: MemberState) -> bool:
            nonlocal suspected
            was_news = mark(name, state)
            suspected += was_news and state is MemberState.SUSPECT
            return was_news

        return marked

    for process in fleet.up():
        view = process.controller._view
        view.set_state = watch(view.set_state)
    fleet.loss = LOSS_RATE
    fleet.pass_time(LOSS_SECONDS)
    print(
        f'{size:4} instances, {LOSS_RATE:.0%} of messages lost for '
        f'{LOSS_SECONDS:.0f} s: {suspected} false suspicions'
    )


def main() -> None:
    """Run all measurements at each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', default=SIZES)
    sizes = parser.parse_args().sizes
    for measure in (print_idle, print_detection, print_crashes, print_losses):
        for size in sizes:
            measure(size)


if __name__ == '__main__':
    main()
