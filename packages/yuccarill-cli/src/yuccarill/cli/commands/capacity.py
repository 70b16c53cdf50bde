"""Show who is lent what of services' capacity, who waits and why."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from yuccarill.cli import output
from yuccarill.cli.output import OutputForm
from yuccarill.core.capacity.overview import ClassOverview
from yuccarill.core.capacity.overview import ServiceOverview

if TYPE_CHECKING:
    from yuccarill.cli.session import Session

PATH = '/capacity/services'


@click.command('capacity')
@output.option
@click.pass_obj
def command(session: Session, form: OutputForm) -> None:
    """Show services' capacity as one instance knows it.

    The address is the peer address of a gateway on the users' platform. The
    whole fleet's demand is known to the broker, whose name is shown.
    """
    shown = session.run(
        session.ask(session.addresses[0], 'GET', PATH, list[ServiceOverview])
    )
    if form is OutputForm.JSON:
        output.print_json(shown)
        return
    output.print_table(
        ['SERVICE', 'CONGESTED', 'BROKER', 'PLACES', 'IN FLIGHT', 'SECONDS']
        + ['CAPACITY/S', 'LENT/S'],
        [
            (
                each.service,
                'yes' if each.is_congested else 'no',
                each.broker or 'none',
                each.places,
                each.in_flight,
                _number(each.service_seconds),
                _number(each.capacity),
                _number(each.lent),
            )
            for each in shown
        ],
    )
    output.print_table(
        ['SERVICE', 'SEEN BY', 'PRIORITY', 'ACCOUNT', 'ASKED/S', 'LENT/S']
        + ['REFUSED/S', 'WAITING', 'WAIT'],
        [
            _row(each, seen_by, known)
            for each in shown
            for seen_by, classes in (
                ('instance', each.classes),
                ('broker', each.fleet),
            )
            for known in classes
        ],
    )


def _row(
    service: ServiceOverview, seen_by: str, known: ClassOverview
) -> tuple[object, ...]:
    return (
        service.service,
        seen_by,
        known.priority,
        known.account or 'the others',
        _number(known.offered),
        'all' if known.lent is None else _number(known.lent),
        _number(known.refused),
        known.waiting,
        _number(known.predicted_wait),
    )


def _number(value: float | None) -> str:
    return '-' if value is None else f'{value:.3g}'
