"""Tell where the time of batch jobs' steps went."""

from __future__ import annotations

import statistics
from typing import TextIO

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.cli import step_times
from yuccarill.cli.step_times import Cause
from yuccarill.cli.step_times import StepTime


@click.command('explain-steps')
@click.argument('logs', nargs=-1, required=True, type=click.File())
@click.option('--model', help='Only steps of one model.')
@output.option
def command(
    logs: tuple[TextIO, ...], model: str | None, form: OutputForm
) -> None:
    """Tell from LOGS of instances where each step's time went.

    A step lasts as long as the text that ends last: how long that one waited
    for a place, was generated, changed engines, was scored, listed and read.
    """
    found = step_times.StepLog()
    for log in logs:
        found.read(log)
    steps = [
        step for step in found.steps() if model is None or step.model == model
    ]
    if form is OutputForm.JSON:
        output.print_json(
            {
                'steps': [_fields(step) for step in steps],
                'lines_left_out': found.lines_left_out,
            }
        )
        return
    _print_table(steps)
    if found.lines_left_out:
        click.echo(
            f'{found.lines_left_out} lines that are no log lines left out.',
            err=True,
        )


def _fields(step: StepTime) -> dict[str, object]:
    return {
        'job': step.job,
        'step': step.step,
        'model': step.model,
        'asked_at': step.asked_at.isoformat(),
        'items': step.items,
        'seconds': round(step.seconds, 3),
        'last_item': step.item,
        'events': step.events,
        'resumed': step.resumed,
        'runs': step.runs,
        'seconds_by_cause': {
            cause.value: round(seconds, 3)
            for cause, seconds in step.seconds_by_cause.items()
        },
    }


def _print_table(steps: list[StepTime]) -> None:
    heads = ['STEP', 'MODEL', 'SECONDS', *(c.name for c in Cause)]
    heads += ['EVENTS', 'RUNS', 'LAST ITEM']
    rows = [_row(step) for step in steps]
    if steps:
        rows.append(_mean(steps))
    output.print_table(heads, rows)


def _row(step: StepTime) -> list[object]:
    spent = [f'{step.seconds_by_cause[cause]:.2f}' for cause in Cause]
    seconds = f'{step.seconds:.2f}'
    return [
        step.step,
        step.model,
        seconds,
        *spent,
        step.events,
        step.runs,
        step.item,
    ]


def _mean(steps: list[StepTime]) -> list[object]:
    seconds = statistics.fmean(step.seconds for step in steps)
    spent = [
        statistics.fmean(step.seconds_by_cause[cause] for step in steps)
        for cause in Cause
    ]
    return ['mean', None, *(f'{each:.2f}' for each in (seconds, *spent))] + [
        None
    ] * 3
