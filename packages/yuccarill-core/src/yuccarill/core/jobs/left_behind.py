"""Tell which texts a step will end without."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import board as board_module

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.jobs.job import GroupId
    from yuccarill.core.jobs.job import Job

# Seconds of generation below which a text is not begun a second time: to go
# on with it costs less than the step to come has to spare.
MIN_SECONDS = 1.0


def left_behind(
    board: board_module.JobBoard, state: board_module.JobState, pace: float
) -> list[board_module.ItemRun]:
    """Return the unfinished items that the trainer will not wait for.

    A trainer ends its step once it has enough whole groups. Those that take
    longest are cut off and come again in a later step.
    """
    seconds_by_group = _seconds_by_group(board, state, pace)
    needed = state.job.wanted_groups - state.count_whole()
    # Groups that come again are waited for whatever the others do.
    needed -= len(state.repeated & seconds_by_group.keys())
    open_groups = sorted(
        seconds_by_group.keys() - state.repeated,
        key=lambda group: seconds_by_group[group],
    )
    cut = set(open_groups[max(0, needed) :])
    return [
        run
        for run in state.unfinished()
        if run.item.group in cut
        and board.seconds_left(run, pace) >= MIN_SECONDS
    ]


def next_job(job: Job, open_jobs: Iterable[Job]) -> Job | None:
    """Return the job as it will come again, none if that is not known yet.

    A trainer that has two steps open asks for the next one when the older
    one has ended, so what is cut off there is asked for with weights that
    are newer than those of the other open step.
    """
    versions = {each.min_version for each in open_jobs}
    versions.add(job.min_version)
    if min(versions) < job.min_version == max(versions):
        return None
    version = WeightVersion(max(versions) + 1)
    return msgspec.structs.replace(job, min_version=version)


def _seconds_by_group(
    board: board_module.JobBoard, state: board_module.JobState, pace: float
) -> dict[GroupId, float]:
    found: dict[GroupId, float] = {}
    for run in state.unfinished():
        seconds = 0.0
        if run.state is not board_module.RunState.SCORING:
            seconds = board.seconds_left(run, pace)
        group = run.item.group
        found[group] = max(seconds, found.get(group, 0.0))
    return found
