"""Run one part of the demonstration."""

from __future__ import annotations

import pathlib
import sys
from typing import Any

import click
from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.standins.demo import layout
from yuccarill.standins.demo import prepare as prepare_module
from yuccarill.standins.demo import readiness
from yuccarill.standins.demo import show


@click.group()
def main() -> None:
    """Prepare and run the demonstration in FOLDER."""


@main.command()
@click.argument('folder', type=click.Path(path_type=pathlib.Path))
def prepare(folder: pathlib.Path) -> None:
    """Reserve ports and write the instances' command lines."""
    prepare_module.prepare(folder)


@main.command()
@click.argument('folder', type=click.Path(path_type=pathlib.Path))
def wait(folder: pathlib.Path) -> None:
    """Register the instances and wait until they answer."""
    _run(readiness.register_all(layout.Layout(folder)))


@main.command()
@click.argument('folder', type=click.Path(path_type=pathlib.Path))
def run(folder: pathlib.Path) -> None:
    """Run callers and a trainer under faults; print the results."""
    _run(show.run(layout.Layout(folder)))


def _run(awaitable: Any) -> None:
    code = 0

    def fail(failure: Any) -> None:
        nonlocal code
        code = 1
        if not failure.check(SystemExit) or failure.value.code != 1:
            click.echo(failure.getTraceback(), err=True)

    def start() -> None:
        done = defer.ensureDeferred(awaitable)
        done.addErrback(fail)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    sys.exit(code)


if __name__ == '__main__':
    main()
