"""Decide when a stopping instance may take each step to its end."""

from __future__ import annotations

import dataclasses
import enum

from yuccarill.core.ids import Instant


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

    def hurry(self, now: Instant) -> None:
        """Take a second signal: end soon, whatever is in flight."""
        soon = Instant(now + self._policy.hurry)
        self._deadline = min(self._deadline, soon)
        self.serves_until = min(self.serves_until, now)

    def advance(self, now: Instant, in_flight: InFlight) -> StopStep:
        """Return the step that is due."""
        match self.step:
            case StopStep.SERVING:
                self.step = StopStep.LEAVING
            case StopStep.LEAVING:
                # A step in the middle is finished here if it can be: its
                # next holder would have to make its samples anew.
                if not in_flight.steps or now >= self._hand_over_at:
                    self.step = StopStep.HANDING_OVER
            case StopStep.HANDING_OVER:
                if not in_flight.shards or now >= self._deadline:
                    self.step = StopStep.FINISHING
            case StopStep.FINISHING:
                self._finish(now, in_flight)
        return self.step

    @property
    def _hand_over_at(self) -> Instant:
        return Instant(self._deadline - self._policy.hand_over)

    def _finish(self, now: Instant, in_flight: InFlight) -> None:
        if now >= self._deadline:
            # Steps and samples are no part of it: their next holder has
            # what was finished and makes the rest.
            if in_flight.requests:
                self.outcome = StopOutcome.CUT
            self.step = StopStep.ENDED
            return
        is_busy = in_flight.requests or in_flight.samples
        if is_busy or now < self.serves_until:
            self._quiet_since = None
            return
        # A request that has just been accepted shows in no count until it
        # is read; a moment without any tells that none was on its way.
        if self._quiet_since is None:
            self._quiet_since = now
        if now - self._quiet_since >= self._policy.quiet:
            self.step = StopStep.ENDED
