"""Measure changes of configuration while real instances are lost.

Starts stand-ins and instances on loopback. At the moment of each change one
instance is frozen, and woken once the others have the change; at the last
change of a run one is killed.
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
    """Lose instances of one fleet at the moment of a change."""

    def __init__(self, fleet: control_fleet.Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self.frozen: list[float] = []
        self.woken: list[float] = []
        self.killed: list[float] = []

    def freeze_one(self) -> None:
        """Freeze an instance, change, and wake it again."""
        place = self._choose()
        member = self._fleet.members[place]
        port = self._fleet.http_ports.pop(place)
        member.send_signal(signal.SIGSTOP)
        self.frozen.append(self._fleet.seconds_in_force())
        member.send_signal(signal.SIGCONT)
        woken_at = time.monotonic()
        self._fleet.http_ports.insert(place, port)
        self._fleet.wait_in_force()
        self.woken.append(time.monotonic() - woken_at)

    def kill_one(self) -> None:
        """Kill an instance and change."""
        place = self._choose()
        self._fleet.members.pop(place).send_signal(signal.SIGKILL)
        self._fleet.http_ports.pop(place)
        self.killed.append(self._fleet.seconds_in_force())

    def _choose(self) -> int:
        # The first one takes the changes.
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
    """Run fleets and print the seconds until changes are in force."""
    taken: dict[str, list[float]] = {'frozen': [], 'woken': [], 'killed': []}
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
        for kind, found in taken.items():
            found.extend(getattr(losses, kind))
    for kind, found in taken.items():
        click.echo(
            f'{kind}: median {statistics.median(found):.2f} s, '
            f'worst {max(found):.2f} s of {len(found)}'
        )


if __name__ == '__main__':
    main()
