"""Run callers and a trainer under faults, and check the promises."""

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
    from yuccarill.standins.demo.layout import Layout

SECONDS_PER_CHUNK = 0.05
PAUSE_SECONDS = 4.0
MAX_SHOWN_FAILURES = 5


async def run(layout: Layout) -> None:
    """Run the demonstration; exit with 1 if a promise is broken."""
    await readiness.wait_until_in_force(layout)
    callers = callers_module.Callers(layout)
    trainer = trainer_module.Trainer(layout)
    watch = watch_module.RevisionWatch(layout)
    faults = faults_module.Faults(layout)
    await faults.slow_engines(SECONDS_PER_CHUNK)
    parts = (callers, trainer, watch)
    running = [defer.ensureDeferred(part.run()) for part in parts]
    click.echo('Callers and a trainer run; weights change within steps.')
    for fault in (
        faults.inject_engine_faults,
        faults.freeze_target,
        faults.close_targets,
        faults.kill_instance,
        faults.stop_instance,
        faults.remove_targets,
    ):
        await server.sleep(PAUSE_SECONDS)
        await fault()
    await server.sleep(PAUSE_SECONDS + promises.LEAVING_SECONDS)
    for part in parts:
        part.end()
    await defer.gatherResults(running)
    found = await evidence.collect(layout)
    checks = promises.Promises(
        callers.records, trainer, faults.records, found, watch
    )
    stored = {
        'callers': callers.records,
        'steps': trainer.steps,
        'faults': faults.records,
    }
    (layout.folder / 'records.json').write_bytes(msgspec.json.encode(stored))
    _print_idle_share(trainer)
    _print_results(list(checks.results()), callers, trainer)


def _print_idle_share(trainer: trainer_module.Trainer) -> None:
    share = trainer.idle_seconds / trainer.seconds if trainer.seconds else 0.0
    click.echo(
        f'The trainer ran {len(trainer.steps)} steps and waited for samples '
        f'{share:.0%} of its time.'
    )


def _print_results(
    results: list[promises.PromiseResult],
    callers: callers_module.Callers,
    trainer: trainer_module.Trainer,
) -> None:
    click.echo()
    for each in results:
        click.echo(f'{"held" if each.is_held else "BROKEN":7}{each.promise}')
        click.echo(f'{"":7}{each.counted}')
    if all(each.is_held for each in results):
        return
    click.echo('\nFailed requests and steps:')
    failed = [a for a in callers.records.asks if a.outcome.is_failure]
    for ask in failed[:MAX_SHOWN_FAILURES]:
        last = ask.attempts[-1] if ask.attempts else None
        click.echo(f'  {ask.request_id}: {ask.outcome.value} {ask.detail}')
        click.echo(f'    {last}')
    for step in trainer.steps:
        if not step.samples or not step.is_refetch_same:
            click.echo(f'  step {step.step}: {step.detail}')
    raise SystemExit(1)
