"""Run the stand-ins for one inventory in one process."""

from __future__ import annotations

import pathlib

import click
from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.standins import site


@click.command()
@click.argument('example', type=click.Path(path_type=pathlib.Path))
@click.argument('folder', type=click.Path(path_type=pathlib.Path))
def main(example: pathlib.Path, folder: pathlib.Path) -> None:
    """Serve stand-ins for inventory EXAMPLE; write addresses to FOLDER."""

    def start() -> None:
        starting = defer.Deferred.fromCoroutine(site.start(example, folder))
        starting.addErrback(stop)

    def stop(failure: object) -> None:
        click.echo(f'The stand-ins did not start: {failure}', err=True)
        reactor.stop()

    reactor.callWhenRunning(start)
    reactor.run()


if __name__ == '__main__':
    main()
