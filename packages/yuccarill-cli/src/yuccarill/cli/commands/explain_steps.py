"""Show how long each phase of a step took."""

from __future__ import annotations

import statistics
from typing import TextIO

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.cli import step_times
from yuccarill.cli.step_times import Phase
from yuccarill.cli.step_times import StepTime


@click.command('explain-steps')
@click.argument('logs', nargs=-1, required=True, type=click.File())
@click.option('--model', help='Show only steps of this model.')
@output.output_option
def command(
    logs: tuple[TextIO, ...], model: str | None, form: OutputForm
) -> None:
    """Show from LOGS of instances how long each phase of a step took.

    The phases are those of the step's last item: waiting for a place at an
    engine, generation, moves between engines, scoring, listing and reading.
    """
    parsed = step_times.StepLog()
    for log in logs:
        parsed.read(log)
    steps = [
        step for step in parsed.steps() if model is None or step.model == model
    ]
    if form is OutputForm.JSON:
        output.print_json(
            {
                'steps': [_json_fields(step) for step in steps],
                'lines_left_out': parsed.lines_left_out,
            }
        )
        return
    _print_table(steps)
    if parsed.lines_left_out:
        click.echo(
            f'Skipped {parsed.lines_left_out} lines that are not log lines.',
            err=True,
        )


def _json_fields(step: StepTime) -> dict[str, object]:
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
            phase.value: round(seconds, 3)
            for phase, seconds in step.seconds_by_phase.items()
        },
    }


def _print_table(steps: list[StepTime]) -> None:
    headers = ['STEP', 'MODEL', 'SECONDS', *(c.name for c in Phase)]
    headers += ['EVENTS', 'RUNS', 'LAST ITEM']
    rows = [_row(step) for step in steps]
    if steps:
        rows.append(_mean_row(steps))
    output.print_table(headers, rows)


def _row(step: StepTime) -> list[object]:
    spent = [f'{step.seconds_by_phase[phase]:.2f}' for phase in Phase]
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


def _mean_row(steps: list[StepTime]) -> list[object]:
    seconds = statistics.fmean(step.seconds for step in steps)
    spent = [
        statistics.fmean(step.seconds_by_phase[phase] for step in steps)
        for phase in Phase
    ]
    return ['mean', None, *(f'{each:.2f}' for each in (seconds, *spent))] + [
        None
    ] * 3
