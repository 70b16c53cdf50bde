"""The life cycle of a session as its own instance knows it."""

from __future__ import annotations

import enum
from typing import Protocol

import automat


class OwnState(enum.Enum):
    """Say how far a session is."""

    CLOSED = 'closed'
    OPENING = 'opening'
    OPEN = 'open'
    CLOSING = 'closing'


class LifeCycle(Protocol):
    """Take what happens to a session."""

    def state(self) -> OwnState:
        """Return the state."""

    def begin(self) -> None:
        """Send the first write of a session."""

    def confirm(self) -> None:
        """Learn that a write of the session took effect."""

    def close(self) -> None:
        """Give the session up."""

    def end(self) -> None:
        """Learn that the session stands no longer, or never did."""


class _Core:
    """Hold nothing: the state says all."""


def _build() -> automat.TypeMachineBuilder[LifeCycle, _Core]:
    builder = automat.TypeMachineBuilder(LifeCycle, _Core)
    closed, opening, opened, closing = (
        builder.state(state.value) for state in OwnState
    )
    for place, state in zip(
        (closed, opening, opened, closing), OwnState, strict=True
    ):
        place.upon(LifeCycle.state).loop().returns(state)
        place.upon(LifeCycle.end).to(closed).returns(None)
    closed.upon(LifeCycle.begin).to(opening).returns(None)
    opening.upon(LifeCycle.confirm).to(opened).returns(None)
    opened.upon(LifeCycle.confirm).loop().returns(None)
    opened.upon(LifeCycle.close).to(closing).returns(None)
    # The write that ends it is still due, whatever took effect before.
    closing.upon(LifeCycle.confirm).loop().returns(None)
    # Nothing is held under these, so there is nothing to give up.
    for place in (closed, opening, closing):
        place.upon(LifeCycle.close).loop().returns(None)
    return builder


_machine = _build().build()


def new() -> LifeCycle:
    """Return the life cycle of a session that is closed."""
    return _machine(_Core())
