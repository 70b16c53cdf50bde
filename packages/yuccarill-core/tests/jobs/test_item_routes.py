"""Test where items may run while configurations change."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import routes
from yuccarill.core.ids import ServiceName
from yuccarill.core.jobs import item_routes

from . import items

SERVICE = ServiceName('s')
OTHER = ServiceName('other')


def table(version: int, *found: tuple[str, str, float]) -> routes.RouteTable:
    """Return a table of routes, each with a prefix, a service and a weight."""
    return routes.RouteTable(
        version,
        [
            routes.Route(
                name=prefix,
                host='h',
                prefix=prefix,
                kind=routes.RouteKind.BATCH,
                shares=(routes.Share(ServiceName(service), weight),),
                timeout=1.0,
                objective=1.0,
            )
            for prefix, service, weight in found
        ],
        [],
        routes.ClientLimits(),
    )


class DecideTest(unittest.TestCase):
    # The configuration, the version that accepted the job, the decision.
    @params(
        (table(2, ('/', 's', 1.0)), 2, item_routes.RunAt(SERVICE)),
        (table(3, ('/', 's', 1.0)), 2, item_routes.RunAt(SERVICE)),
        (table(3), 2, item_routes.Revoked()),
        (table(3, ('/', 'other', 1.0)), 2, item_routes.RunAt(OTHER)),
        (table(3, ('/', 's', 0.0)), 2, item_routes.Undecided()),
        (
            table(3, ('/', 's', 1.0), ('/generate', 'other', 1.0)),
            2,
            item_routes.RunAt(OTHER),
        ),
        # Nothing follows from an older configuration, or without one.
        (table(1, ('/', 's', 1.0)), 2, item_routes.Undecided()),
        (table(1, ('/', 'other', 1.0)), 2, item_routes.Undecided()),
        (table(1), 2, item_routes.Undecided()),
        (None, 0, item_routes.Undecided()),
    )
    def test_decision(
        self,
        known: routes.RouteTable | None,
        accepted_version: int,
        expected: item_routes.Decision,
    ) -> None:
        """Guard against items that fail under an older configuration."""
        job = items.make_job(accepted_version=accepted_version)
        self.assertEqual(
            expected,
            item_routes.decide(known, job, job.items[0], SERVICE),
        )


class JobServicesTest(unittest.TestCase):
    def test_services_follow_the_configuration(self) -> None:
        """Guard against items that wait for engines of a former service."""
        services = item_routes.JobServices(SERVICE)
        job = items.make_job(accepted_version=2)
        for known, expected in (
            (None, set()),
            (table(1, ('/', 'other', 1.0)), set()),
            (table(2, ('/', 's', 1.0)), {SERVICE}),
            (table(3, ('/', 'other', 1.0)), {OTHER}),
            (table(4), set()),
        ):
            services.update(known, {job.id})
            self.assertEqual(expected, services.of(job))

    def test_ended_jobs_are_forgotten(self) -> None:
        """Guard against memory that grows with each job."""
        services = item_routes.JobServices(SERVICE)
        known = table(1, ('/', 's', 1.0))
        for number in range(3):
            job = items.make_job(name=f'j{number}')
            services.update(known, {job.id})
            services.of(job)
        self.assertEqual(1, len(services._services_by_job))
