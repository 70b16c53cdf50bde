"""Show the state of instances, targets and trainers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
import msgspec

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.cli import survey

if TYPE_CHECKING:
    from yuccarill.cli.session import Session


@click.command('status')
@output.output_option
@click.pass_obj
def command(session: Session, form: OutputForm) -> None:
    """Show instances, targets and trainers, merged from all instances."""
    state = session.run(survey.collect(session))
    if form is OutputForm.JSON:
        output.print_json(state)
        return
    _print_instances(state)
    _print_targets(state)
    _print_trainers(state)


def _print_instances(state: survey.Survey) -> None:
    output.print_table(
        [
            'INSTANCE',
            'DATA CENTRE',
            'ADDRESS',
            'STATE',
            'REVISION',
            'INCARNATION',
        ],
        map(msgspec.structs.astuple, state.instances),
    )
    newest = max((i.revision or 0 for i in state.instances), default=0)
    behind = [i.id for i in state.instances if i.revision != newest]
    if behind:
        click.echo(f'No report of revision {newest} from {", ".join(behind)}.')
    else:
        click.echo(f'Revision {newest} is in force at all instances.')


def _print_targets(state: survey.Survey) -> None:
    click.echo()
    output.print_table(
        ['TARGET', 'RUNS', 'DATA CENTRE', 'WEIGHTS', 'STAGED', 'IN FLIGHT'],
        map(msgspec.structs.astuple, state.targets),
    )


def _print_trainers(state: survey.Survey) -> None:
    click.echo()
    output.print_table(
        ['TRAINER', 'HOLDER', 'OPEN STEPS'],
        [
            [t.id, t.holder, ', '.join(map(str, t.open_steps))]
            for t in state.trainers
        ],
    )
