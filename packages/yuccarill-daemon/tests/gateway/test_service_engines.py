"""Test which engines of another service run the items of moved routes."""

from __future__ import annotations

import msgspec
from nose2.tools import params

from yuccarill.core.gateway import partitions
from yuccarill.core.ids import ServiceName
from yuccarill.core.jobs import job_queue
from yuccarill.daemon.gateway.jobs import service_engines

from . import world

OTHER = ServiceName('other')
ENGINES = 30


class OtherServicesTest(world.WorldTest):
    def others(self, part: ServiceName, parts: int):
        state = self.state('a')
        state.divisions_by_service[world.SERVICE] = partitions.Division(
            parts=parts, is_by_items=parts > 1
        )
        for number in range(ENGINES):
            state.targets.put(
                msgspec.structs.replace(
                    world.engine(f'o{number}'), service=OTHER
                )
            )
        return service_engines.OtherServices(
            part, state, job_queue.JobQueue(), self.clock
        )

    @params(1, 3)
    def test_holders_of_parts_use_different_engines(self, parts: int) -> None:
        """Guard against holders that all fill the same engines."""
        found = [
            name
            for part in partitions.part_names(world.SERVICE, parts)
            for name in self.others(part, parts).get(OTHER).fleet.engines_by_id
        ]
        self.assertEqual(ENGINES, len(found))
        self.assertEqual(ENGINES, len(set(found)))

    def test_a_service_is_kept_while_it_runs_items(self) -> None:
        """Guard against runs that are forgotten when a route moves back."""
        others = self.others(world.SERVICE, 1)
        engines = others.get(OTHER)
        engines.run_mover.active_runs_by_item['item'] = 'run'
        others.keep(())
        self.assertIs(engines, others.get(OTHER))
        engines.run_mover.active_runs_by_item.clear()
        others.keep(())
        self.assertIsNot(engines, others.get(OTHER))
