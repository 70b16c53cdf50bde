"""Track a trainer's open and closed steps and its newest version."""

from __future__ import annotations

import msgspec

from yuccarill.core import errors
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import WeightVersion

MAX_OPEN_STEPS = 64


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a trainer's open and closed steps and its newest version."""

    newest_version: WeightVersion = WeightVersion(0)
    # All steps up to this one are closed.
    low_water: StepNumber = StepNumber(0)
    # Closed steps above the low-water mark.
    closed: tuple[StepNumber, ...] = ()
    open: tuple[StepNumber, ...] = ()

    def is_closed(self, step: StepNumber) -> bool:
        """Return whether a step is closed and can't be opened again."""
        return step <= self.low_water or step in self.closed


def raise_newest(progress: Progress, version: WeightVersion) -> Progress:
    """Raise the newest version; ignore an older one."""
    newest = max(progress.newest_version, version)
    return msgspec.structs.replace(progress, newest_version=newest)


def open_step(progress: Progress, step: StepNumber) -> Progress:
    """Open a step; idempotent for an open one.

    Raises StepClosed or StepConflict.
    """
    if progress.is_closed(step):
        # Keeps a trainer that has lost its state from training twice on one
        # step. The low-water mark outlives the step's own record.
        raise errors.StepClosed(
            f'Step {step} is already closed; continue after step '
            f'{max((progress.low_water, *progress.closed))}.'
        )
    if step in progress.open:
        return progress
    if len(progress.open) >= MAX_OPEN_STEPS:
        raise errors.StepConflict(
            f'{MAX_OPEN_STEPS} steps are open; acknowledge or delete step '
            f'{progress.open[0]} first.'
        )
    opened = tuple(sorted((*progress.open, step)))
    return msgspec.structs.replace(progress, open=opened)


def close_step(progress: Progress, step: StepNumber) -> Progress:
    """Close a step and move the low-water mark up to the first open one."""
    if progress.is_closed(step):
        return progress
    still_open = tuple(s for s in progress.open if s != step)
    closed = sorted((*progress.closed, step))
    below = [s for s in closed if not still_open or s < still_open[0]]
    return msgspec.structs.replace(
        progress,
        open=still_open,
        low_water=max((progress.low_water, *below)),
        closed=tuple(closed[len(below) :]),
    )
