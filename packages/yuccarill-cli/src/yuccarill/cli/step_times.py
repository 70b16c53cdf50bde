"""Tell from log lines where the time of batch jobs' steps went."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class Cause(enum.Enum):
    """Name what a step's last text spent its time on."""

    PLACE = 'place'
    GENERATION = 'generation'
    MOVES = 'moves'
    SCORE = 'score'
    LISTING = 'listing'
    READING = 'reading'


@dataclasses.dataclass(frozen=True)
class StepTime:
    """Hold where one step's time went, by the text that ended last."""

    job: str
    step: int
    model: str
    asked_at: datetime.datetime
    items: int
    # Until the trainer ended the step.
    seconds: float
    item: str
    events: int
    runs: int
    # Events that the text had from an earlier step or holder.
    resumed: int
    seconds_by_cause: dict[Cause, float]


@dataclasses.dataclass
class _Job:
    """Collect what the log says of one job."""

    taken: dict[str, Any]
    asked_at: datetime.datetime
    listed_at: list[datetime.datetime] = dataclasses.field(
        default_factory=list
    )
    ends_by_item: dict[str, datetime.datetime] = dataclasses.field(
        default_factory=dict
    )
    runs_by_item: dict[str, list[dict[str, Any]]] = dataclasses.field(
        default_factory=dict
    )
    ended_at: datetime.datetime | None = None


class StepLog:
    """Read log lines of any number of instances."""

    def __init__(self) -> None:
        self._jobs_by_id: dict[str, _Job] = {}
        self.lines_left_out = 0

    def read(self, lines: Iterable[str]) -> None:
        """Take log lines; whatever stands before a line's JSON is skipped."""
        for line in lines:
            brace = line.find('{')
            if brace < 0:
                continue
            try:
                fields = json.loads(line[brace:])
                event = fields['event']
            except (ValueError, KeyError, TypeError):
                self.lines_left_out += 1
                continue
            self._take(event, fields)

    def steps(self) -> list[StepTime]:
        """Return the steps that were ended, the first asked for first."""
        found = [
            step
            for job in self._jobs_by_id.values()
            if (step := _explained(job)) is not None
        ]
        return sorted(found, key=lambda step: step.asked_at)

    def _take(self, event: str, fields: dict[str, Any]) -> None:
        if event == 'runner: Job taken.':
            self._begin(fields)
        job = self._jobs_by_id.get(fields.get('job', ''))
        if job is None:
            return
        at = _time(fields)
        match event:
            case 'generation: Run ended.':
                runs = job.runs_by_item.setdefault(fields['item'], [])
                runs.append(fields)
            case 'runner: Item ended.':
                job.ends_by_item.setdefault(fields['item'], at)
            case 'listing: Listed.':
                job.listed_at.append(at)
            case 'runner: Job ended.':
                job.ended_at = job.ended_at or at

    def _begin(self, fields: dict[str, Any]) -> None:
        # A job is taken again by the next holder of its service.
        if fields['job'] not in self._jobs_by_id:
            age = datetime.timedelta(seconds=fields['age'])
            job = _Job(taken=fields, asked_at=_time(fields) - age)
            self._jobs_by_id[fields['job']] = job


def _explained(job: _Job) -> StepTime | None:
    runs_by_item = {
        item: runs
        for item, runs in job.runs_by_item.items()
        if item in job.ends_by_item
        and any(_time(run) <= job.ends_by_item[item] for run in runs)
    }
    if job.ended_at is None or not runs_by_item:
        return None
    item = max(runs_by_item, key=lambda each: job.ends_by_item[each])
    ended_at = job.ends_by_item[item]
    # A holder that was replaced may go on with a text for a while.
    runs = sorted(
        (run for run in runs_by_item[item] if _time(run) <= ended_at),
        key=_time,
    )
    listed_at = min(
        (at for at in job.listed_at if at >= ended_at), default=job.ended_at
    )
    generated = sum(run.get('seconds', 0.0) for run in runs)
    begun_at = _time(runs[0]) - _length(runs[0])
    last_at = _time(runs[-1])
    spent = {
        Cause.PLACE: _seconds(begun_at - job.asked_at),
        Cause.GENERATION: generated,
        Cause.MOVES: _seconds(last_at - begun_at) - generated,
        Cause.SCORE: _seconds(ended_at - last_at),
        Cause.LISTING: _seconds(listed_at - ended_at),
        Cause.READING: _seconds(job.ended_at - listed_at),
    }
    return StepTime(
        job=job.taken['job'],
        step=job.taken['step'],
        model=job.taken['model'],
        asked_at=job.asked_at,
        items=job.taken['items'],
        seconds=_seconds(job.ended_at - job.asked_at),
        item=item,
        events=runs[-1]['events'],
        runs=len(runs),
        resumed=runs[0]['first'],
        seconds_by_cause=spent,
    )


def _time(fields: dict[str, Any]) -> datetime.datetime:
    return datetime.datetime.fromisoformat(fields['timestamp'])


def _length(run: dict[str, Any]) -> datetime.timedelta:
    return datetime.timedelta(seconds=run.get('seconds', 0.0))


def _seconds(span: datetime.timedelta) -> float:
    return span.total_seconds()
