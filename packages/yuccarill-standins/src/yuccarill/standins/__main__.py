"""Run the stand-ins of one deployment in one process."""

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
    """Serve the parts of EXAMPLE and write their addresses to FOLDER."""

    def begin() -> None:
        started = defer.Deferred.fromCoroutine(site.start(example, folder))
        started.addErrback(stop)

    def stop(failure: object) -> None:
        click.echo(f'stand-ins: {failure}', err=True)
        reactor.stop()

    reactor.callWhenRunning(begin)
    reactor.run()


if __name__ == '__main__':
    main()
