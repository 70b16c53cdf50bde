"""The command yuccarilld."""

from __future__ import annotations

import signal
import sys
from typing import Any

import click
from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.core import errors
from yuccarill.daemon import instance
from yuccarill.daemon import logs
from yuccarill.daemon import metrics
from yuccarill.daemon import settings as settings_module


@click.command(context_settings={'auto_envvar_prefix': 'YUCCARILL'})
@click.option('--instance', required=True, help='Name of this instance.')
@click.option('--data-centre', required=True, help='Its data centre.')
@click.option('--host', required=True, help='IP number to serve on.')
@click.option('--http-port', required=True, type=int)
@click.option('--peer-port', required=True, type=int)
@click.option('--key-value', required=True, help='IP:PORT of the service.')
@click.option('--instance-list', required=True, help='IP:PORT of the list.')
@click.option('--weight-store', required=True, help='IP:PORT of the store.')
@click.option('--data-folder', help='Folder on a disk, if there is one.')
@click.option(
    '--log-format', type=click.Choice(['text', 'json']), default='text'
)
@click.option('--statsd', help='IP:PORT of a statsd server.')
@click.option('--address-validity', type=float, default=5.0)
@click.option('--stop-timeout', type=float, default=30.0)
@click.option('--weight-downloads', type=float, default=50.0)
@click.option('--check-settings', is_flag=True, help='Check and end.')
def main(check_settings: bool, **values: Any) -> None:
    """Run one instance of yuccarill."""
    settings = settings_module.Settings(**values)
    try:
        settings_module.check(settings)
    except errors.SettingsInvalid as error:
        click.echo(error.message, err=True)
        sys.exit(2)
    if check_settings:
        click.echo('The settings are valid.')
        return
    logs.configure(settings.log_format)
    metrics.configure(settings.statsd)
    process = instance.InstanceProcess(settings)

    def stop(*_: object) -> None:
        reactor.callFromThread(begin_stop)

    def begin_stop() -> None:
        stopped = defer.ensureDeferred(process.stop())
        stopped.addBoth(lambda _: reactor.stop())

    def begin() -> None:
        signal.signal(signal.SIGTERM, stop)
        started = defer.ensureDeferred(process.start())
        started.addErrback(failed)

    def failed(failure: Any) -> None:
        logs.for_part('instance').error(
            'Not started.', cause=failure.getErrorMessage()
        )
        reactor.stop()

    reactor.callWhenRunning(begin)
    reactor.run()
