"""Decide when a stopping instance takes each step of its shutdown."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol
from typing import TYPE_CHECKING

import automat

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Callable


class StopStep(enum.Enum):
    """Step of a graceful shutdown."""

    SERVING = 'serving'
    # The shutdown is announced; callers may still hold valid addresses.
    LEAVING = 'leaving'
    HANDING_OVER = 'handing over'
    FINISHING = 'finishing'
    ENDED = 'ended'


class StopOutcome(enum.Enum):
    """Whether requests were cut off."""

    COMPLETE = 'complete'
    CUT = 'cut'


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopPolicy:
    """Time limits of a graceful shutdown, in seconds."""

    # How long callers may use an address after receiving it.
    address_validity: float
    # From the first signal to the end, even with work in flight.
    stop_timeout: float
    # Time in which every instance learns of the shutdown or suspects this one.
    spread: float = 3.0
    # Part of stop_timeout that is reserved to hand shards over.
    hand_over: float = 5.0
    # From a second signal to the end.
    second_signal_timeout: float = 1.0
    # Continuous time with nothing in flight before the end.
    quiet: float = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlight:
    """Work in flight on a stopping instance."""

    requests: int = 0
    # Repeated by another instance if they are cut off.
    samples: int = 0
    steps: int = 0
    shards: int = 0


class Shutdown:
    """Steps of one graceful shutdown."""

    def __init__(self, policy: StopPolicy, now: Instant) -> None:
        self._policy = policy
        self.step = StopStep.SERVING
        self.outcome = StopOutcome.COMPLETE
        # Other instances give callers this address until they know of the
        # shutdown; the last address expires address_validity later.
        self.serves_until = Instant(
            now + policy.spread + policy.address_validity
        )
        self._deadline = Instant(now + policy.stop_timeout)
        self._quiet_since: Instant | None = None
        self._machine = StopMachine(self)

    def shorten(self, now: Instant) -> None:
        """Process a second signal: end soon, even with work in flight."""
        soon = Instant(now + self._policy.second_signal_timeout)
        self._deadline = min(self._deadline, soon)
        self.serves_until = min(self.serves_until, now)

    def advance(self, now: Instant, in_flight: InFlight) -> StopStep:
        """Enter the next step if the current one is over; return the step."""
        self._machine.advance(now, in_flight)
        return self.step

    def _is_hand_over_due(self, now: Instant, in_flight: InFlight) -> bool:
        """Return whether shards go to their next holders now."""
        # The next holder repeats the samples of steps that are cut off, so
        # running steps may finish until the time reserved for hand-over.
        hand_over_at = self._deadline - self._policy.hand_over
        return not in_flight.steps or now >= hand_over_at

    def _is_hand_over_done(self, now: Instant, in_flight: InFlight) -> bool:
        """Return whether all shards are handed over or the time is up."""
        return not in_flight.shards or now >= self._deadline

    def _is_over(self, now: Instant, in_flight: InFlight) -> bool:
        """Return whether the shutdown ends now; record cut-off requests."""
        if now >= self._deadline:
            # Steps and samples do not count as cut off: their next holder
            # completes them.
            if in_flight.requests:
                self.outcome = StopOutcome.CUT
            return True
        is_busy = in_flight.requests or in_flight.samples
        if is_busy or now < self.serves_until:
            self._quiet_since = None
            return False
        # A request is counted only once it has been read from an accepted
        # connection, so the counts must stay zero for a while.
        if self._quiet_since is None:
            self._quiet_since = now
        return now - self._quiet_since >= self._policy.quiet


class StopInputs(Protocol):
    """Inputs of the shutdown's state machine."""

    def advance(self, now: Instant, in_flight: InFlight) -> None:
        """Enter the next step if the current one is over."""

    def leave(self) -> None:
        """Start to leave."""

    def hand_over(self) -> None:
        """Start to hand shards over."""

    def finish(self) -> None:
        """Start to wait for work in flight."""

    def end(self) -> None:
        """End the shutdown."""


_builder = automat.TypeMachineBuilder(StopInputs, Shutdown)
_serving, _leaving, _handing_over, _finishing, _ended = (
    _builder.state(step.value) for step in StopStep
)


def _enter(step: StopStep) -> Callable[[StopInputs, Shutdown], None]:
    def enter(_: StopInputs, shutdown: Shutdown) -> None:
        shutdown.step = step

    return enter


_serving.upon(StopInputs.leave).to(_leaving)(_enter(StopStep.LEAVING))
_leaving.upon(StopInputs.hand_over).to(_handing_over)(
    _enter(StopStep.HANDING_OVER)
)
_handing_over.upon(StopInputs.finish).to(_finishing)(
    _enter(StopStep.FINISHING)
)
_finishing.upon(StopInputs.end).to(_ended)(_enter(StopStep.ENDED))


@_serving.upon(StopInputs.advance).loop()
def _begin(
    machine: StopInputs, shutdown: Shutdown, now: Instant, in_flight: InFlight
) -> None:
    machine.leave()


@_leaving.upon(StopInputs.advance).loop()
def _wait_for_steps(
    machine: StopInputs, shutdown: Shutdown, now: Instant, in_flight: InFlight
) -> None:
    if shutdown._is_hand_over_due(now, in_flight):
        machine.hand_over()


@_handing_over.upon(StopInputs.advance).loop()
def _wait_for_shards(
    machine: StopInputs, shutdown: Shutdown, now: Instant, in_flight: InFlight
) -> None:
    if shutdown._is_hand_over_done(now, in_flight):
        machine.finish()


@_finishing.upon(StopInputs.advance).loop()
def _wait_for_requests(
    machine: StopInputs, shutdown: Shutdown, now: Instant, in_flight: InFlight
) -> None:
    if shutdown._is_over(now, in_flight):
        machine.end()


_ended.upon(StopInputs.advance).loop().returns(None)

StopMachine = _builder.build()
