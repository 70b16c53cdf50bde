"""Call policies to compare: the project's, a naive one and an oracle."""

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
    """Track one attempt at a target."""

    def __init__(self, run: Run, target: TargetId, now: float) -> None:
        self.run = run
        self.target = target
        self.started_at = now
        self.is_over = False


class Run:
    """Track the attempts of an admitted request."""

    def __init__(self, request: calls_model.Request) -> None:
        self.request = request
        self.tried: frozenset[TargetId] = frozenset()
        self.open = 0
        self.is_over = False


class Yuccarill:
    """Make calls with the product's dispatcher, as the daemon does."""

    def __init__(self, world: calls_model.World, seed: int) -> None:
        self._world = world
        self._loop = world.loop
        self.attempts = 0
        size = world.size
        data_centres = {
            TargetId(str(n)): DataCentreId(str(target.data_centre))
            for n, target in enumerate(world.targets)
        }
        self.dispatchers = []
        for n in range(size.instances):
            router = dispatcher.Dispatcher[Any](
                dispatcher.Policy(), random.Random(seed * 1000 + n)
            )
            here = DataCentreId(str(n % size.data_centres))
            router.pool.update(data_centres, here, Instant(0.0))
            self.dispatchers.append(router)

    def arrive(self, request: calls_model.Request) -> None:
        router = self.dispatchers[request.instance]
        waiting = admission.QueuedCall(
            request,
            CallerId(request.caller_class.value),
            request.caller_class,
            1,
            request.deadline,
        )
        for refused in router.offer(waiting, self._loop.now):
            self._refuse(refused)
        self._admit(request.instance)
        if waiting.is_queued:
            latest_start = request.deadline - router.expected_latency
            delay = max(0.0, latest_start - self._loop.now)
            self._loop.schedule(delay, self._expire, waiting)

    def _expire(self, waiting: Any) -> None:
        if waiting.is_queued:
            self.dispatchers[waiting.item.instance].withdraw(waiting)
            self._refuse(waiting)

    def _refuse(self, waiting: Any) -> None:
        waiting.item.ended_at = self._loop.now

    def _admit(self, instance: int) -> None:
        router = self.dispatchers[instance]
        admitted, expired = router.admit(self._loop.now)
        for waiting in expired:
            self._refuse(waiting)
        for waiting in admitted:
            self._attempt(Run(waiting.item))

    def _attempt(self, run: Run) -> None:
        now = self._loop.now
        request = run.request
        router = self.dispatchers[request.instance]
        is_urgent = request.caller_class is CallerClass.LATENCY
        target = router.pool.choose(now, run.tried, is_urgent)
        if target is None:
            if not run.open:
                self._end(run, False)
            return
        self.attempts += 1
        attempt = Attempt(run, target, now)
        run.tried |= {target}
        run.open += 1
        router.pool.record_send(target)
        attempts_left = max(1, router.policy.attempts - len(run.tried) + 1)
        retry_at = deadlines.attempt_deadline(
            now, request.deadline, attempts_left, router.limit.unloaded
        )
        self._loop.schedule(retry_at - now, self._retry_if_pending, attempt)
        self._loop.schedule(request.deadline - now, self._time_out, attempt)
        model = self._world.targets[int(target)]
        delay = self._world.delay(request.instance, model)

        def reply(report: LoadReport | None) -> None:
            self._loop.schedule(delay, self._reply, attempt, report)

        seconds = request.service_seconds
        caller_class = request.caller_class
        self._loop.schedule(delay, model.arrive, seconds, caller_class, reply)
        hedge = router.hedge_after()
        if (
            request.caller_class is CallerClass.LATENCY
            and hedge is not None
            and len(run.tried) == 1
        ):
            self._loop.schedule(hedge, self._hedge, attempt)

    def _hedge(self, attempt: Attempt) -> None:
        run = attempt.run
        if attempt.is_over or run.is_over:
            return
        router = self.dispatchers[run.request.instance]
        if router.hedge_after() is not None and router.hedges.withdraw():
            self._attempt(run)

    def _retry_if_pending(self, attempt: Attempt) -> None:
        if not attempt.is_over and not attempt.run.is_over:
            self._retry(attempt.run)

    def _reply(self, attempt: Attempt, report: LoadReport | None) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        run = attempt.run
        run.open -= 1
        router = self.dispatchers[run.request.instance]
        now = self._loop.now
        if report is not None:
            seconds = now - attempt.started_at
            # Targets other than engines report no load.
            known = report if self._world.size.has_priorities else None
            router.record_answer(attempt.target, seconds, known, now)
            self._end(run, True)
        else:
            router.record_failure(
                attempt.target, Failure.NOT_CONNECTED, 0.0, now
            )
            self._retry(run)

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        run = attempt.run
        run.open -= 1
        router = self.dispatchers[run.request.instance]
        now = self._loop.now
        seconds = now - attempt.started_at
        router.record_failure(attempt.target, Failure.TIMED_OUT, seconds, now)
        self._retry(run)

    def _retry(self, run: Run) -> None:
        if run.is_over:
            return
        router = self.dispatchers[run.request.instance]
        now = self._loop.now
        has_attempts_left = len(run.tried) < router.policy.attempts
        if (
            now < run.request.deadline
            and has_attempts_left
            and router.retries.withdraw()
        ):
            self._attempt(run)
        elif not run.open:
            self._end(run, False)

    def _end(self, run: Run, is_answered: bool) -> None:
        if run.is_over:
            return
        run.is_over = True
        run.request.ended_at = self._loop.now
        run.request.is_answered = is_answered
        instance = run.request.instance
        self.dispatchers[instance].release()
        self._admit(instance)


class Naive:
    """Call the targets in turn, with up to three attempts."""

    max_attempts = 3
    # Share of a request's time limit after which an attempt times out.
    timeout_share = 1 / 3

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
        next_index = self._next[request.instance] + 1
        self._next[request.instance] = next_index % world.size.targets
        target = world.targets[self._next[request.instance]]
        delay = world.delay(request.instance, target)
        state = {'over': False}

        def end(report: LoadReport | None) -> None:
            if state['over']:
                return
            state['over'] = True
            if report is not None:
                if not request.is_answered:
                    request.is_answered = True
                    request.ended_at = self._loop.now
            elif number < self.max_attempts:
                self._attempt(request, number + 1)
            else:
                request.ended_at = request.ended_at or self._loop.now

        def reply(report: LoadReport | None) -> None:
            self._loop.schedule(delay, end, report)

        seconds = request.service_seconds
        caller_class = request.caller_class
        self._loop.schedule(delay, target.arrive, seconds, caller_class, reply)
        timeout = (request.deadline - request.started_at) * self.timeout_share
        self._loop.schedule(timeout, end, None)


class PatientNaive(Naive):
    """Retry failed attempts only, without a timeout for each attempt."""

    timeout_share = 1.0


class Oracle:
    """Serve one queue, knowing every load, fault and service time."""

    def __init__(self, world: calls_model.World, seed: int) -> None:
        self._world = world
        self._loop = world.loop
        self._busy: collections.Counter[int] = collections.Counter()
        self._free_slots = [
            n
            for n in range(world.size.targets)
            for _ in range(world.size.slots)
        ]
        world.generator.shuffle(self._free_slots)
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
            while queue and self._free_slots:
                request = queue.popleft()
                if self._loop.now + request.service_seconds > request.deadline:
                    request.ended_at = self._loop.now
                    continue
                self._start(request)

    def _start(self, request: calls_model.Request) -> None:
        for _ in range(len(self._free_slots)):
            index = self._free_slots.pop()
            target = self._world.targets[index]
            is_usable = not (target.is_crashed or target.is_frozen)
            if is_usable and target.slowness == 1.0:
                break
            self._free_slots.insert(0, index)
        else:
            self._queues[request.caller_class].appendleft(request)
            return
        self.attempts += 1
        self._loop.schedule(request.service_seconds, self._end, request, index)

    def _end(self, request: calls_model.Request, index: int) -> None:
        request.is_answered = True
        request.ended_at = self._loop.now
        self._free_slots.append(index)
        self._serve()
