"""Show the capacity of services and its allocation to accounts."""

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
@output.output_option
@click.pass_obj
def command(session: Session, form: OutputForm) -> None:
    """Show the capacity of services as one instance sees it.

    --address is the peer address of a gateway on the users' platform. Only the
    instance in the BROKER column knows the demand of all instances.
    """
    services = session.run(
        session.request(
            session.addresses[0], 'GET', PATH, list[ServiceOverview]
        )
    )
    if form is OutputForm.JSON:
        output.print_json(services)
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
                _format_number(each.service_seconds),
                _format_number(each.capacity),
                _format_number(each.lent),
            )
            for each in services
        ],
    )
    output.print_table(
        ['SERVICE', 'SEEN BY', 'PRIORITY', 'ACCOUNT', 'ASKED/S', 'LENT/S']
        + ['REFUSED/S', 'WAITING', 'WAIT'],
        [
            _row(each, seen_by, demand)
            for each in services
            for seen_by, classes in (
                ('instance', each.classes),
                ('broker', each.fleet),
            )
            for demand in classes
        ],
    )


def _row(
    service: ServiceOverview, seen_by: str, demand: ClassOverview
) -> tuple[object, ...]:
    return (
        service.service,
        seen_by,
        demand.priority,
        demand.account or 'the others',
        _format_number(demand.offered),
        'all' if demand.lent is None else _format_number(demand.lent),
        _format_number(demand.refused),
        demand.waiting,
        _format_number(demand.predicted_wait),
    )


def _format_number(value: float | None) -> str:
    return '-' if value is None else f'{value:.3g}'
