"""The policies that are measured: the project's, a naive one, an oracle."""

from __future__ import annotations

import collections
import random
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core.calls import admission
from yuccarill.core.calls import deadlines
from yuccarill.core.calls import dispatcher
from yuccarill.core.calls.pool import Failure
from yuccarill.core.config.inventory import CallerClass
from yuccarill.core.ids import CallerId
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId

if TYPE_CHECKING:
    import calls_model

    from yuccarill.core.calls.load import LoadReport


class Attempt:
    """Be one attempt at a target."""

    def __init__(self, run: Run, target: TargetId, now: float) -> None:
        self.run = run
        self.target = target
        self.begun = now
        self.is_over = False


class Run:
    """Hold an admitted request's attempts."""

    def __init__(self, request: calls_model.Request) -> None:
        self.request = request
        self.tried: frozenset[TargetId] = frozenset()
        self.open = 0
        self.is_over = False


class Yuccarill:
    """Drive core's decisions as the daemon does."""

    def __init__(self, world: calls_model.World, seed: int) -> None:
        self._world = world
        self._loop = world.loop
        self.attempts = 0
        size = world.size
        centres = {
            TargetId(str(n)): DataCentreId(str(target.centre))
            for n, target in enumerate(world.targets)
        }
        self.dispatchers = []
        for n in range(size.instances):
            made = dispatcher.Dispatcher[Any](
                dispatcher.Policy(), random.Random(seed * 1000 + n)
            )
            here = DataCentreId(str(n % size.centres))
            made.pool.update(centres, here, Instant(0.0))
            self.dispatchers.append(made)

    def arrive(self, request: calls_model.Request) -> None:
        made = self.dispatchers[request.instance]
        waiting = admission.Waiting(
            request,
            CallerId(request.caller_class.value),
            request.caller_class,
            1,
            request.deadline,
        )
        for refused in made.offer(waiting, self._loop.now):
            self._refuse(refused)
        self._admit(request.instance)
        if waiting.is_queued:
            patience = request.deadline - made.expected
            seconds = max(0.0, patience - self._loop.now)
            self._loop.at(seconds, self._expire, waiting)

    def _expire(self, waiting: Any) -> None:
        if waiting.is_queued:
            self.dispatchers[waiting.item.instance].withdraw(waiting)
            self._refuse(waiting)

    def _refuse(self, waiting: Any) -> None:
        waiting.item.ended = self._loop.now

    def _admit(self, instance: int) -> None:
        made = self.dispatchers[instance]
        admitted, given_up = made.admit(self._loop.now)
        for waiting in given_up:
            self._refuse(waiting)
        for waiting in admitted:
            self._attempt(Run(waiting.item))

    def _attempt(self, run: Run) -> None:
        now = self._loop.now
        request = run.request
        made = self.dispatchers[request.instance]
        is_urgent = request.caller_class is CallerClass.LATENCY
        target = made.pool.choose(now, run.tried, is_urgent)
        if target is None:
            if not run.open:
                self._end(run, False)
            return
        self.attempts += 1
        attempt = Attempt(run, target, now)
        run.tried |= {target}
        run.open += 1
        made.pool.send(target)
        left = max(1, made.policy.attempts - len(run.tried) + 1)
        until = deadlines.attempt_deadline(
            now, request.deadline, left, made.limit.unloaded
        )
        self._loop.at(until - now, self._rescue, attempt)
        self._loop.at(request.deadline - now, self._time_out, attempt)
        place = self._world.targets[int(target)]
        way = self._world.delay(request.instance, place)

        def reply(report: LoadReport | None) -> None:
            self._loop.at(way, self._reply, attempt, report)

        seconds = request.seconds
        kind = request.caller_class
        self._loop.at(way, place.arrive, seconds, kind, reply)
        hedge = made.hedge_after()
        if (
            request.caller_class is CallerClass.LATENCY
            and hedge is not None
            and len(run.tried) == 1
        ):
            self._loop.at(hedge, self._hedge, attempt)

    def _hedge(self, attempt: Attempt) -> None:
        run = attempt.run
        if attempt.is_over or run.is_over:
            return
        made = self.dispatchers[run.request.instance]
        if made.hedge_after() is not None and made.hedges.withdraw():
            self._attempt(run)

    def _rescue(self, attempt: Attempt) -> None:
        if not attempt.is_over and not attempt.run.is_over:
            self._again(attempt.run)

    def _reply(self, attempt: Attempt, report: LoadReport | None) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        run = attempt.run
        run.open -= 1
        made = self.dispatchers[run.request.instance]
        now = self._loop.now
        if report is not None:
            seconds = now - attempt.begun
            # Plain targets tell nothing of their load.
            known = report if self._world.size.has_priorities else None
            made.answer(attempt.target, seconds, known, now)
            self._end(run, True)
        else:
            made.fail(attempt.target, Failure.NOT_CONNECTED, 0.0, now)
            self._again(run)

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        run = attempt.run
        run.open -= 1
        made = self.dispatchers[run.request.instance]
        now = self._loop.now
        seconds = now - attempt.begun
        made.fail(attempt.target, Failure.TIMED_OUT, seconds, now)
        self._again(run)

    def _again(self, run: Run) -> None:
        if run.is_over:
            return
        made = self.dispatchers[run.request.instance]
        now = self._loop.now
        is_left = len(run.tried) < made.policy.attempts
        if now < run.request.deadline and is_left and made.retries.withdraw():
            self._attempt(run)
        elif not run.open:
            self._end(run, False)

    def _end(self, run: Run, answered: bool) -> None:
        if run.is_over:
            return
        run.is_over = True
        run.request.ended = self._loop.now
        run.request.answered = answered
        instance = run.request.instance
        self.dispatchers[instance].finish()
        self._admit(instance)


class Naive:
    """Go round the targets and try three times."""

    tries = 3
    # The part of a request's time after which it is tried again.
    share = 1 / 3

    def __init__(self, world: calls_model.World, seed: int) -> None:
        self._world = world
        self._loop = world.loop
        self._next = [
            world.generator.randrange(world.size.targets)
            for _ in range(world.size.instances)
        ]
        self.attempts = 0

    def arrive(self, request: calls_model.Request) -> None:
        self._attempt(request, 1)

    def _attempt(self, request: calls_model.Request, number: int) -> None:
        self.attempts += 1
        world = self._world
        turn = self._next[request.instance] + 1
        self._next[request.instance] = turn % world.size.targets
        target = world.targets[self._next[request.instance]]
        way = world.delay(request.instance, target)
        state = {'over': False}

        def end(report: LoadReport | None) -> None:
            if state['over']:
                return
            state['over'] = True
            if report is not None:
                if not request.answered:
                    request.answered = True
                    request.ended = self._loop.now
            elif number < self.tries:
                self._attempt(request, number + 1)
            else:
                request.ended = request.ended or self._loop.now

        def reply(report: LoadReport | None) -> None:
            self._loop.at(way, end, report)

        seconds = request.seconds
        kind = request.caller_class
        self._loop.at(way, target.arrive, seconds, kind, reply)
        share = (request.deadline - request.begun) * self.share
        self._loop.at(share, end, None)


class PatientNaive(Naive):
    """Try again only what failed."""

    share = 1.0


class Oracle:
    """Serve from one queue that knows loads, faults and durations."""

    def __init__(self, world: calls_model.World, seed: int) -> None:
        self._world = world
        self._loop = world.loop
        self._busy: collections.Counter[int] = collections.Counter()
        self._free = [
            n
            for n in range(world.size.targets)
            for _ in range(world.size.slots)
        ]
        world.generator.shuffle(self._free)
        self._queues: dict[Any, collections.deque[Any]] = {
            c: collections.deque() for c in CallerClass
        }
        self.attempts = 0

    def arrive(self, request: calls_model.Request) -> None:
        self._queues[request.caller_class].append(request)
        self._serve()

    def _serve(self) -> None:
        for caller_class in (CallerClass.LATENCY, CallerClass.INTERNAL):
            queue = self._queues[caller_class]
            while queue and self._free:
                request = queue.popleft()
                if self._loop.now + request.seconds > request.deadline:
                    request.ended = self._loop.now
                    continue
                self._start(request)

    def _start(self, request: calls_model.Request) -> None:
        for _ in range(len(self._free)):
            place = self._free.pop()
            target = self._world.targets[place]
            usable = not (target.is_crashed or target.is_frozen)
            if usable and target.slowness == 1.0:
                break
            self._free.insert(0, place)
        else:
            self._queues[request.caller_class].appendleft(request)
            return
        self.attempts += 1
        self._loop.at(request.seconds, self._end, request, place)

    def _end(self, request: calls_model.Request, place: int) -> None:
        request.answered = True
        request.ended = self._loop.now
        self._free.append(place)
        self._serve()
