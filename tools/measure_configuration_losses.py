"""Measure configuration changes while instances freeze or die.

Starts stand-ins and instances on loopback. One instance is frozen before each
change and resumed once the others have applied the change. One instance is
killed before the last change of a run.
"""

from __future__ import annotations

import pathlib
import random
import signal
import statistics
import tempfile
import time

import click
import control_fleet

SETTLE_SECONDS = 3.0


class Losses:
    """Freeze and kill instances of a fleet during changes."""

    def __init__(self, fleet: control_fleet.Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self.frozen: list[float] = []
        self.woken: list[float] = []
        self.killed: list[float] = []

    def freeze_one(self) -> None:
        """Freeze an instance, apply a change and resume the instance."""
        index = self._choose_index()
        process = self._fleet.instances[index]
        port = self._fleet.http_ports.pop(index)
        process.send_signal(signal.SIGSTOP)
        self.frozen.append(self._fleet.measure_change())
        process.send_signal(signal.SIGCONT)
        resumed_at = time.monotonic()
        self._fleet.http_ports.insert(index, port)
        self._fleet.wait_until_applied()
        self.woken.append(time.monotonic() - resumed_at)

    def kill_one(self) -> None:
        """Kill an instance and apply a change."""
        index = self._choose_index()
        self._fleet.instances.pop(index).send_signal(signal.SIGKILL)
        self._fleet.http_ports.pop(index)
        self.killed.append(self._fleet.measure_change())

    def _choose_index(self) -> int:
        # Instance 0 receives the changes and has to stay alive.
        return self._random.randrange(1, len(self._fleet.http_ports))


@click.command()
@click.option('--binary', default='.venv/bin/yuccarilld')
@click.option('--instances', type=int, default=6)
@click.option('--targets', type=int, default=1300)
@click.option('--runs', type=int, default=3)
@click.option('--freezes', type=int, default=4)
def main(
    binary: str, instances: int, targets: int, runs: int, freezes: int
) -> None:
    """Run fleets and print the seconds until changes are applied."""
    results: dict[str, list[float]] = {'frozen': [], 'woken': [], 'killed': []}
    for seed in range(runs):
        with tempfile.TemporaryDirectory() as name:
            fleet = control_fleet.Fleet(
                binary, instances, targets, pathlib.Path(name)
            )
            try:
                fleet.start()
                losses = Losses(fleet, seed)
                for _ in range(freezes):
                    time.sleep(SETTLE_SECONDS)
                    losses.freeze_one()
                time.sleep(SETTLE_SECONDS)
                losses.kill_one()
            finally:
                fleet.stop()
        for kind, seconds in results.items():
            seconds.extend(getattr(losses, kind))
    for kind, seconds in results.items():
        click.echo(
            f'{kind}: median {statistics.median(seconds):.2f} s, '
            f'worst {max(seconds):.2f} s of {len(seconds)}'
        )


if __name__ == '__main__':
    main()
