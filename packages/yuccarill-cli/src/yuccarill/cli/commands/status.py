"""Show the state of the instances and of what they serve."""

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
@output.option
@click.pass_obj
def command(session: Session, form: OutputForm) -> None:
    """Show instances, targets and trainers, as all instances see them."""
    found = session.run(survey.take(session))
    if form is OutputForm.JSON:
        output.print_json(found)
        return
    _print_instances(found)
    _print_targets(found)
    _print_trainers(found)


def _print_instances(found: survey.Survey) -> None:
    output.print_table(
        [
            'INSTANCE',
            'DATA CENTRE',
            'ADDRESS',
            'STATE',
            'REVISION',
            'INCARNATION',
        ],
        map(msgspec.structs.astuple, found.instances),
    )
    newest = max((seen.revision or 0 for seen in found.instances), default=0)
    behind = [s.id for s in found.instances if s.revision != newest]
    if behind:
        click.echo(f'Revision {newest} is not known at {", ".join(behind)}.')
    else:
        click.echo(f'Revision {newest} is in force at all.')


def _print_targets(found: survey.Survey) -> None:
    click.echo()
    output.print_table(
        ['TARGET', 'RUNS', 'DATA CENTRE', 'WEIGHTS', 'STAGED', 'IN FLIGHT'],
        map(msgspec.structs.astuple, found.targets),
    )


def _print_trainers(found: survey.Survey) -> None:
    click.echo()
    output.print_table(
        ['TRAINER', 'HOLDER', 'OPEN STEPS'],
        [
            [t.id, t.holder, ', '.join(map(str, t.open_steps))]
            for t in found.trainers
        ],
    )
