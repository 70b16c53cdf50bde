"""Let callers and a trainer work while things go wrong, and count."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
import msgspec
from twisted.internet import defer

from yuccarill.standins.demo import callers as callers_module
from yuccarill.standins.demo import evidence
from yuccarill.standins.demo import faults as faults_module
from yuccarill.standins.demo import promises
from yuccarill.standins.demo import readiness
from yuccarill.standins.demo import trainer as trainer_module
from yuccarill.standins.demo import watch as watch_module
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.places import Places

SECONDS_PER_CHUNK = 0.05
CALM_SECONDS = 4.0
DETAILS = 5


async def run(places: Places) -> None:
    """Run the demonstration; ends non-zero when a promise is broken."""
    await readiness.in_force(places)
    callers = callers_module.Callers(places)
    trainer = trainer_module.Trainer(places)
    watch = watch_module.RevisionWatch(places)
    faults = faults_module.Faults(places)
    await faults.slow_engines(SECONDS_PER_CHUNK)
    parts = (callers, trainer, watch)
    running = [defer.ensureDeferred(part.run()) for part in parts]
    click.echo('Callers call, a trainer trains, weights change within steps.')
    for fault in (
        faults.trouble_engines,
        faults.freeze_target,
        faults.close_targets,
        faults.kill_instance,
        faults.stop_instance,
        faults.remove_targets,
    ):
        await server.sleep(CALM_SECONDS)
        await fault()
    await server.sleep(CALM_SECONDS + promises.LEAVING_SECONDS)
    for part in parts:
        part.end()
    await defer.gatherResults(running)
    found = await evidence.collect(places)
    counted = promises.Promises(
        callers.records, trainer, faults.records, found, watch
    )
    kept = {
        'callers': callers.records,
        'steps': trainer.steps,
        'faults': faults.records,
    }
    (places.folder / 'records.json').write_bytes(msgspec.json.encode(kept))
    _tell_idle(trainer)
    _close(list(counted.lines()), callers, trainer)


def _tell_idle(trainer: trainer_module.Trainer) -> None:
    share = trainer.idle_seconds / trainer.seconds if trainer.seconds else 0.0
    click.echo(
        f'The trainer took {len(trainer.steps)} steps and waited for samples '
        f'{share:.0%} of its time.'
    )


def _close(
    lines: list[promises.Line],
    callers: callers_module.Callers,
    trainer: trainer_module.Trainer,
) -> None:
    click.echo()
    for line in lines:
        click.echo(f'{"held" if line.is_held else "BROKEN":7}{line.promise}')
        click.echo(f'{"":7}{line.counted}')
    if all(line.is_held for line in lines):
        return
    click.echo('\nWhat callers and the trainer saw:')
    troubled = [a for a in callers.records.asks if a.outcome.is_trouble]
    for ask in troubled[:DETAILS]:
        last = ask.attempts[-1] if ask.attempts else None
        click.echo(f'  {ask.request_id}: {ask.outcome.value} {ask.detail}')
        click.echo(f'    {last}')
    for step in trainer.steps:
        if not step.samples or not step.is_refetch_same:
            click.echo(f'  step {step.step}: {step.detail}')
    raise SystemExit(1)
