"""Compute from log lines how long each phase of a step took."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class Phase(enum.Enum):
    """Phase in which the last item of a step spent time."""

    PLACE = 'place'
    GENERATION = 'generation'
    MOVES = 'moves'
    SCORE = 'score'
    LISTING = 'listing'
    READING = 'reading'


@dataclasses.dataclass(frozen=True)
class StepTime:
    """Time of one step by phase, measured on the item that ended last."""

    job: str
    step: int
    model: str
    asked_at: datetime.datetime
    items: int
    # From the request to the end of the job.
    seconds: float
    item: str
    events: int
    runs: int
    # Events that the item had before its first logged run.
    resumed: int
    seconds_by_phase: dict[Phase, float]


@dataclasses.dataclass
class _Job:
    """Log lines of one job."""

    start_fields: dict[str, Any]
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
    """Log lines of any number of instances, grouped by job."""

    def __init__(self) -> None:
        self._jobs_by_id: dict[str, _Job] = {}
        self.lines_left_out = 0

    def read(self, lines: Iterable[str]) -> None:
        """Parse log lines; a prefix before a line's JSON is ignored."""
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
            self._process_event(event, fields)

    def steps(self) -> list[StepTime]:
        """Return the steps that have ended, in order of request time."""
        steps = [
            step
            for job in self._jobs_by_id.values()
            if (step := _step_time(job)) is not None
        ]
        return sorted(steps, key=lambda step: step.asked_at)

    def _process_event(self, event: str, fields: dict[str, Any]) -> None:
        if event == 'runner: Job taken.':
            self._start_job(fields)
        job = self._jobs_by_id.get(fields.get('job', ''))
        if job is None:
            return
        at = _timestamp(fields)
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

    def _start_job(self, fields: dict[str, Any]) -> None:
        # After a failover, the next holder logs the same job again.
        if fields['job'] not in self._jobs_by_id:
            age = datetime.timedelta(seconds=fields['age'])
            job = _Job(start_fields=fields, asked_at=_timestamp(fields) - age)
            self._jobs_by_id[fields['job']] = job


def _step_time(job: _Job) -> StepTime | None:
    runs_by_item = {
        item: runs
        for item, runs in job.runs_by_item.items()
        if item in job.ends_by_item
        and any(_timestamp(run) <= job.ends_by_item[item] for run in runs)
    }
    if job.ended_at is None or not runs_by_item:
        return None
    item = max(runs_by_item, key=lambda each: job.ends_by_item[each])
    ended_at = job.ends_by_item[item]
    # A replaced holder can log runs of an item after the item has ended.
    runs = sorted(
        (run for run in runs_by_item[item] if _timestamp(run) <= ended_at),
        key=_timestamp,
    )
    listed_at = min(
        (at for at in job.listed_at if at >= ended_at), default=job.ended_at
    )
    generation_seconds = sum(run.get('seconds', 0.0) for run in runs)
    started_at = _timestamp(runs[0]) - _duration(runs[0])
    last_run_at = _timestamp(runs[-1])
    seconds_by_phase = {
        Phase.PLACE: _seconds(started_at - job.asked_at),
        Phase.GENERATION: generation_seconds,
        Phase.MOVES: _seconds(last_run_at - started_at) - generation_seconds,
        Phase.SCORE: _seconds(ended_at - last_run_at),
        Phase.LISTING: _seconds(listed_at - ended_at),
        Phase.READING: _seconds(job.ended_at - listed_at),
    }
    return StepTime(
        job=job.start_fields['job'],
        step=job.start_fields['step'],
        model=job.start_fields['model'],
        asked_at=job.asked_at,
        items=job.start_fields['items'],
        seconds=_seconds(job.ended_at - job.asked_at),
        item=item,
        events=runs[-1]['events'],
        runs=len(runs),
        resumed=runs[0]['first'],
        seconds_by_phase=seconds_by_phase,
    )


def _timestamp(fields: dict[str, Any]) -> datetime.datetime:
    return datetime.datetime.fromisoformat(fields['timestamp'])


def _duration(run: dict[str, Any]) -> datetime.timedelta:
    return datetime.timedelta(seconds=run.get('seconds', 0.0))


def _seconds(duration: datetime.timedelta) -> float:
    return duration.total_seconds()
