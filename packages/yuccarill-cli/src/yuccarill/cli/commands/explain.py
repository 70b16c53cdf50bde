"""Explain a result code."""

from __future__ import annotations

import click

from yuccarill.cli import failures
from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.core import errors
from yuccarill.core import explanations


@click.command('explain')
@click.argument('code', type=int)
@output.output_option
def command(code: int, form: OutputForm) -> None:
    """Explain the numeric result code CODE."""
    try:
        explanation = explanations.explain(code)
    except errors.UnknownCode as error:
        raise failures.refused(error) from error
    if form is OutputForm.JSON:
        output.print_json(explanation)
        return
    state = 'has not run and will not' if explanation.not_run else 'may run'
    click.echo(
        f'{explanation.code} {explanation.name} '
        f'(HTTP {explanation.http_status})\n'
        f'Meaning:    {explanation.meaning}\n'
        f'Request:    {state}\n'
        f'What to do: {explanation.remedy}'
    )
