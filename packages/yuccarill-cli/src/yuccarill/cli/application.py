"""The yuccarill command line."""

from __future__ import annotations

import click

from yuccarill.cli.commands import addresses
from yuccarill.cli.commands import apply
from yuccarill.cli.commands import audit
from yuccarill.cli.commands import capacity
from yuccarill.cli.commands import check
from yuccarill.cli.commands import diff
from yuccarill.cli.commands import explain
from yuccarill.cli.commands import explain_steps
from yuccarill.cli.commands import quarantine
from yuccarill.cli.commands import show
from yuccarill.cli.commands import status
from yuccarill.cli.commands import usage
from yuccarill.cli import session
from yuccarill.core import addresses as addresses_module

DEFAULT_ADDRESS = '127.0.0.1:8100'


def _validate_addresses(
    _context: click.Context,
    _parameter: click.Parameter,
    values: tuple[str, ...],
) -> tuple[str, ...]:
    invalid = [v for v in values if not addresses_module.is_address(v)]
    if invalid:
        raise click.BadParameter(
            f'{", ".join(invalid)}: write an IP address and a port, such as '
            f'{DEFAULT_ADDRESS}.'
        )
    return values


@click.group(context_settings={'auto_envvar_prefix': 'YUCCARILL'})
@click.option(
    '--address',
    multiple=True,
    default=(DEFAULT_ADDRESS,),
    show_default=True,
    callback=_validate_addresses,
    help='IP:PORT of an instance; repeat the option for fallbacks.',
)
@click.pass_context
def main(context: click.Context, address: tuple[str, ...]) -> None:
    """Manage the configuration of yuccarill and inspect its state."""
    # Tests pass their own session.
    if context.obj is None:
        context.obj = session.connect(address)


for _module in (
    addresses,
    apply,
    audit,
    capacity,
    check,
    diff,
    explain,
    explain_steps,
    quarantine,
    show,
    status,
    usage,
):
    main.add_command(_module.command)
