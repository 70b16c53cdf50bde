"""Forward a target's event stream to a client as it arrives."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.gateway import requests
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.gateway.capacity import port
from yuccarill.daemon.gateway.capacity import requests as capacity_requests
from yuccarill.daemon import logs
from yuccarill.platform import calls as calls_module

if TYPE_CHECKING:
    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.gateway.routes import Route
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.text import StreamEvent
    from yuccarill.daemon.gateway.quarantine.watched_calls import WatchedCalls
    from yuccarill.daemon.gateway.requests.selector import TargetSelector
    from yuccarill.daemon.gateway.requests.sender import Sender
    from yuccarill.daemon.gateway.requests.usage_sink import UsageSink
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.ports import Answerer

log = logs.for_part('streams')

# Seconds without an event after which an attempt is abandoned; shorter than
# the shortest client timeout.
SILENCE_SECONDS = 1.5
# Time limit across all attempts of one stream.
STREAM_SECONDS = 600.0


class StreamForwarder:
    """Forward streams and resume the resumable ones on other targets."""

    def __init__(
        self,
        state: GatewayState,
        sender: Sender,
        calls: WatchedCalls,
        usage: UsageSink,
        clock: Any,
        capacity: port.CapacityPort = port.NO_CAPACITY,
    ) -> None:
        self._state = state
        self._capacity = capacity
        self._usage = usage
        self._sender = sender
        self._calls = calls
        self._clock = clock

    async def serve(
        self, route: Route, request: ClientRequest, answerer: Answerer
    ) -> str:
        """Forward one stream and return its outcome.

        Raises YuccarillError if the stream fails before its head is sent.
        """
        service = route.choose_service(self._state.generator)
        if service is None:
            raise errors.NoTarget('The route has no service.', 1.0)
        deadline = requests.time_limit(route, request)
        permit = await self._capacity.acquire(
            service, capacity_requests.from_client(route, request, deadline)
        )
        run = _StreamRun(request, answerer, permit, self._clock)
        answerer.feed_from(run, route.is_resumable)
        selector = self._sender.select_targets(
            service, run.call(), route.max_attempts, permit
        )
        try:
            return await self._run_attempts(
                run, selector, route, service, permit
            )
        except errors.RequestQuarantined as error:
            return run.refuse(error)
        finally:
            self._usage.record_start(request.account, run.began_at)

    async def _run_attempts(
        self,
        run: _StreamRun,
        selector: TargetSelector,
        route: Route,
        service: ServiceName,
        permit: port.SendPermit,
    ) -> str:
        deadline = Instant(self._clock.seconds() + STREAM_SECONDS)
        cause = 'no target is ready'
        while (target := selector.next()) is not None:
            try:
                with port.record_attempt(
                    self._capacity, target.service, self._clock
                ) as attempt:
                    answer = await self._calls.generate(
                        target,
                        run.call(),
                        deadline,
                        SILENCE_SECONDS,
                        run,
                        # On a kept connection, a late copy of a refusal
                        # would make a running stream run twice.
                        is_fresh=not route.is_resumable,
                    )
                    attempt.answer = answer
            except calls_module.CallFailed as error:
                cause = str(error)
                run.detach()
                run.log_failed_attempt(target, cause)
                if error.end is calls_module.CallEnd.NOT_SENT:
                    selector.record_unreached(target)
                    continue
                run.may_have_run = True
                run.record_start()
                if not route.is_resumable:
                    break
                if run.was_paused:
                    # Targets abort streams that a slow client leaves unread;
                    # such an abort uses up no attempt.
                    await run.wait_until_read()
                    selector = self._sender.select_targets(
                        service, run.call(), route.max_attempts, permit
                    )
                continue
            run.detach()
            if answer.not_run:
                cause = f'refused with status {answer.status}'
                run.log_failed_attempt(target, cause)
                continue
            if run.has_begun and not answer.is_success:
                # The client already has a part of the stream, so another
                # target has to complete it.
                cause = f'not resumed: status {answer.status}'
                run.log_failed_attempt(target, cause)
                continue
            return run.end(answer)
        return run.give_up(cause)


class _StreamRun(calls_module.GenerationSink):
    """Forward one client's stream over several attempts."""

    def __init__(
        self,
        request: ClientRequest,
        answerer: Answerer,
        permit: port.SendPermit,
        clock: Any,
    ) -> None:
        self._permit = permit
        self._clock = clock
        # Time of the first event, or of the first failure of a sent attempt.
        self.began_at: Instant | None = None
        self._request = request
        self._answerer = answerer
        # Head of the current attempt's answer.
        self._head: TargetAnswer | None = None
        # Whether the client has a head and at least one event.
        self.has_begun = False
        # An attempt failed after it was sent.
        self.may_have_run = False
        # The client was slow to read during the current attempt.
        self.was_paused = False
        self._is_paused = False
        self._reading: http_exchange.ReadControl | None = None
        self._resumed: defer.Deferred[None] | None = None
        self._last = request.after_event

    def call(self) -> calls_module.TargetCall:
        """Return the target call that continues after the last event."""
        return calls_module.TargetCall(
            id=self._request.id,
            method=self._request.method,
            target=self._request.target,
            headers=self._request.headers,
            body=self._request.body,
            after_event=self._last,
            deadline=self._request.deadline,
            account=self._request.account,
        )

    def set_reading(self, reading: http_exchange.ReadControl) -> None:
        self._reading = reading
        self.was_paused = self._is_paused
        if self._is_paused:
            reading.pause()

    def detach(self) -> None:
        """Release an ended attempt's connection, which may be reused."""
        self._reading = None

    def pause(self) -> None:
        """Apply back pressure to the target."""
        self._is_paused = self.was_paused = True
        log.info('Stream paused.', request=self._request.id, after=self._last)
        if self._reading is not None:
            self._reading.pause()

    def resume(self) -> None:
        """Resume reading once the client has read everything."""
        self._is_paused = False
        log.info('Stream resumed.', request=self._request.id, after=self._last)
        if self._reading is not None:
            self._reading.resume()
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    async def wait_until_read(self) -> None:
        """Wait until the client has read everything sent to it."""
        if self._is_paused:
            self._resumed = defer.Deferred()
            await self._resumed

    def log_failed_attempt(self, target: ListedTarget, cause: str) -> None:
        """Log why an attempt did not complete the stream."""
        log.info(
            'Stream attempt failed.',
            request=self._request.id,
            target=target.id,
            after=self._last,
            has_begun=self.has_begun,
            cause=cause,
        )

    def record_start(self) -> None:
        """Record when the request began, or may have begun, to run."""
        if self.began_at is None:
            self.began_at = Instant(self._clock.seconds())

    def begin(self, answer: TargetAnswer, version: int | None) -> None:
        self._head = answer

    def event(self, event: StreamEvent) -> None:
        expected = (self._last or 0) + 1
        if event.number != expected:
            raise http_exchange.ResponseRejected(
                f'received event {event.number}, expected {expected}'
            )
        self._last = expected
        self.record_start()
        if not self.has_begun:
            # A head without an event would bind the client to an attempt that
            # can still fail.
            assert self._head is not None
            self.has_begun = True
            self._answerer.begin(self._head)
        self._answerer.write(event.raw)

    def end(self, answer: TargetAnswer) -> str:
        """Complete the client's response and return the outcome."""
        if self.has_begun:
            self._answerer.finish()
        else:
            self._answerer.answer(answer)
        return f'status {answer.status}'

    def refuse(self, error: errors.RequestQuarantined) -> str:
        """End a stream whose request is quarantined."""
        if not self.has_begun and not self.may_have_run:
            raise error
        return self.give_up(error.message)

    def give_up(self, cause: str) -> str:
        """End a stream that no target completed."""
        if self.has_begun:
            # The client must not mistake a partial answer for a complete one.
            self._answerer.abort()
            return 'cut'
        if self.may_have_run:
            raise errors.OutcomeUnknown(
                f'The stream was interrupted: {cause}.'
            )
        raise self._permit.refusal(cause)
