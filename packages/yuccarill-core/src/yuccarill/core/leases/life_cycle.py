"""State machine of an instance's own session."""

from __future__ import annotations

import enum
from typing import Protocol

import automat


class OwnState(enum.Enum):
    """State of an instance's own session."""

    CLOSED = 'closed'
    OPENING = 'opening'
    OPEN = 'open'
    CLOSING = 'closing'


class LifeCycle(Protocol):
    """Inputs of the state machine of a session."""

    def state(self) -> OwnState:
        """Return the current state."""

    def begin(self) -> None:
        """Record that the first write of a session is sent."""

    def confirm(self) -> None:
        """Record that a write of the session took effect."""

    def close(self) -> None:
        """Stop using the session; its closing write is still to be sent."""

    def end(self) -> None:
        """Record that the session has ended or its opening has failed."""


class _Core:
    """Empty core object that automat requires."""


def _build() -> automat.TypeMachineBuilder[LifeCycle, _Core]:
    builder = automat.TypeMachineBuilder(LifeCycle, _Core)
    closed, opening, opened, closing = (
        builder.state(state.value) for state in OwnState
    )
    for source, state in zip(
        (closed, opening, opened, closing), OwnState, strict=True
    ):
        source.upon(LifeCycle.state).loop().returns(state)
        source.upon(LifeCycle.end).to(closed).returns(None)
    closed.upon(LifeCycle.begin).to(opening).returns(None)
    opening.upon(LifeCycle.confirm).to(opened).returns(None)
    opened.upon(LifeCycle.confirm).loop().returns(None)
    opened.upon(LifeCycle.close).to(closing).returns(None)
    # The closing write is still due after an earlier write is confirmed.
    closing.upon(LifeCycle.confirm).loop().returns(None)
    # No shard is held in these states, so closing changes nothing.
    for source in (closed, opening, closing):
        source.upon(LifeCycle.close).loop().returns(None)
    return builder


_machine = _build().build()


def new() -> LifeCycle:
    """Return a state machine in the closed state."""
    return _machine(_Core())
