"""How far a trainer has come: its open steps and its newest version."""

from __future__ import annotations

import msgspec

from yuccarill.core import errors
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import WeightVersion

MAX_OPEN_STEPS = 64


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a trainer's open steps, those closed and its newest version."""

    newest_version: WeightVersion = WeightVersion(0)
    # No step up to this one can be made any more.
    low_water: StepNumber = StepNumber(0)
    # Closed steps above the low-water mark.
    closed: tuple[StepNumber, ...] = ()
    open: tuple[StepNumber, ...] = ()

    def is_closed(self, step: StepNumber) -> bool:
        """Tell whether a step must not be made again."""
        return step <= self.low_water or step in self.closed


def raise_newest(progress: Progress, version: WeightVersion) -> Progress:
    """Take a version unless a newer one is known."""
    newest = max(progress.newest_version, version)
    return msgspec.structs.replace(progress, newest_version=newest)


def open_step(progress: Progress, step: StepNumber) -> Progress:
    """Enter a step among the open ones.

    Raises StepClosed or StepConflict.
    """
    if progress.is_closed(step):
        # A trainer that lost its own record could ask for the step again
        # and would learn twice from it; the low-water mark outlives the
        # step's own record.
        raise errors.StepClosed(
            f'Step {step} was closed before; go on after step '
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
