"""Decide when a stopping instance may take each step to its end."""

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
    """Say how far a graceful shutdown got."""

    SERVING = 'serving'
    # Told to all; answers to callers that name it still run out.
    LEAVING = 'leaving'
    HANDING_OVER = 'handing over'
    FINISHING = 'finishing'
    ENDED = 'ended'


class StopOutcome(enum.Enum):
    """Say whether anything was cut off."""

    COMPLETE = 'complete'
    CUT = 'cut'


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopPolicy:
    """Bound a graceful shutdown in seconds."""

    # Until when callers may use an address that they were told.
    address_validity: float
    # From the first signal to the end, whatever is still in flight.
    stop_timeout: float
    # Until every instance has heard of the leaving or suspects it.
    spread: float = 3.0
    # Kept of the time limit to hand shards over.
    hand_over: float = 5.0
    # Left to what runs after a second signal.
    hurry: float = 1.0
    # Without anything in flight, before the end.
    quiet: float = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlight:
    """Count what a stopping instance still works on."""

    requests: int = 0
    # Made anew by another instance if they are cut off.
    samples: int = 0
    steps: int = 0
    shards: int = 0


class Shutdown:
    """Walk one graceful shutdown through its steps."""

    def __init__(self, policy: StopPolicy, now: Instant) -> None:
        self._policy = policy
        self.step = StopStep.SERVING
        self.outcome = StopOutcome.COMPLETE
        # Other instances name this one until they have heard; only then
        # the last answer starts to run out.
        self.serves_until = Instant(
            now + policy.spread + policy.address_validity
        )
        self._deadline = Instant(now + policy.stop_timeout)
        self._quiet_since: Instant | None = None
        self._steps = StopMachine(self)

    def hurry(self, now: Instant) -> None:
        """Take a second signal: end soon, whatever is in flight."""
        soon = Instant(now + self._policy.hurry)
        self._deadline = min(self._deadline, soon)
        self.serves_until = min(self.serves_until, now)

    def advance(self, now: Instant, in_flight: InFlight) -> StopStep:
        """Return the step that is due."""
        self._steps.advance(now, in_flight)
        return self.step

    def _must_hand_over(self, now: Instant, in_flight: InFlight) -> bool:
        """Tell whether shards go to their next holders now."""
        # A step in the middle is finished here if it can be: its next
        # holder would have to make its samples anew.
        hand_over_at = self._deadline - self._policy.hand_over
        return not in_flight.steps or now >= hand_over_at

    def _must_finish(self, now: Instant, in_flight: InFlight) -> bool:
        """Tell whether no shard is waited for any more."""
        return not in_flight.shards or now >= self._deadline

    def _must_end(self, now: Instant, in_flight: InFlight) -> bool:
        """Note quiet and cut requests; tell whether it is over."""
        if now >= self._deadline:
            # Steps and samples are no part of it: their next holder has
            # what was finished and makes the rest.
            if in_flight.requests:
                self.outcome = StopOutcome.CUT
            return True
        is_busy = in_flight.requests or in_flight.samples
        if is_busy or now < self.serves_until:
            self._quiet_since = None
            return False
        # A request that has just been accepted shows in no count until it
        # is read; a moment without any tells that none was on its way.
        if self._quiet_since is None:
            self._quiet_since = now
        return now - self._quiet_since >= self._policy.quiet


class StopInputs(Protocol):
    """Name what moves a shutdown from step to step."""

    def advance(self, now: Instant, in_flight: InFlight) -> None:
        """Go on if what the step waits for is over."""

    def leave(self) -> None:
        """Begin to leave."""

    def hand_over(self) -> None:
        """Begin to hand shards over."""

    def finish(self) -> None:
        """Begin to wait for what is in flight."""

    def end(self) -> None:
        """End the shutdown."""


_builder = automat.TypeMachineBuilder(StopInputs, Shutdown)
_serving, _leaving, _handing_over, _finishing, _ended = (
    _builder.state(step.value) for step in StopStep
)


def _enter(step: StopStep) -> Callable[[StopInputs, Shutdown], None]:
    def enter(_: StopInputs, walk: Shutdown) -> None:
        walk.step = step

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
    steps: StopInputs, walk: Shutdown, now: Instant, in_flight: InFlight
) -> None:
    steps.leave()


@_leaving.upon(StopInputs.advance).loop()
def _wait_for_steps(
    steps: StopInputs, walk: Shutdown, now: Instant, in_flight: InFlight
) -> None:
    if walk._must_hand_over(now, in_flight):
        steps.hand_over()


@_handing_over.upon(StopInputs.advance).loop()
def _wait_for_shards(
    steps: StopInputs, walk: Shutdown, now: Instant, in_flight: InFlight
) -> None:
    if walk._must_finish(now, in_flight):
        steps.finish()


@_finishing.upon(StopInputs.advance).loop()
def _wait_for_requests(
    steps: StopInputs, walk: Shutdown, now: Instant, in_flight: InFlight
) -> None:
    if walk._must_end(now, in_flight):
        steps.end()


_ended.upon(StopInputs.advance).loop().returns(None)

StopMachine = _builder.build()
