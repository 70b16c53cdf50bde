"""Define the command that runs one gateway instance."""

from __future__ import annotations

import gc
import pathlib
import signal
import sys
from typing import Any

import click
from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.core import errors
from yuccarill.core.jobs.placement import Placement
from yuccarill.daemon.gateway import log_sink
from yuccarill.daemon.gateway import options
from yuccarill.daemon.gateway import process as process_module
from yuccarill.daemon import logs
from yuccarill.daemon.settings import LogLevel
from yuccarill.platform import settings_file

EXIT_FAILED = 1
EXIT_SETTINGS_INVALID = 2
STDOUT = 1


@click.command()
@click.option(
    '--settings-file',
    'given_file',
    type=click.Path(path_type=pathlib.Path),
    default=None,
    help='The settings file that the platform writes.',
)
@click.option(
    '--log-level',
    type=click.Choice([level.value for level in LogLevel]),
    default=LogLevel.INFO.value,
    show_default=True,
    envvar='YUCCARILL_LOG_LEVEL',
    help='The lowest level of log lines that are written.',
)
@click.option(
    '--target-orders',
    type=click.Choice([mode.value for mode in options.TargetOrderMode]),
    default=options.TargetOrderMode.OFF.value,
    show_default=True,
    envvar='YUCCARILL_TARGET_ORDERS',
    help='Which targets are ordered for services that allow it.',
)
@click.option(
    '--capacity',
    type=click.Choice([mode.value for mode in options.CapacityMode]),
    default=options.CapacityMode.LOCAL.value,
    show_default=True,
    envvar='YUCCARILL_CAPACITY',
    help="Whether instances share services' capacity.",
)
@click.option(
    '--placement',
    type=click.Choice([placement.value for placement in Placement]),
    default=Placement.LOAD.value,
    show_default=True,
    envvar='YUCCARILL_PLACEMENT',
    help='How items of batch jobs are assigned to engines.',
)
@click.option(
    '--check-settings', is_flag=True, help='Check the settings and end.'
)
def main(
    given_file: pathlib.Path | None,
    log_level: str,
    target_orders: str,
    capacity: str,
    placement: str,
    check_settings: bool,
) -> None:
    """Run one instance of yuccarill on the users' platform."""
    path, settings = _read_settings(given_file)
    if check_settings:
        click.echo('The settings are valid.')
        return
    sink = log_sink.LogSink(STDOUT, reactor)
    logs.configure_stream(sink, LogLevel(log_level))
    switches = options.Options(
        target_orders=options.TargetOrderMode(target_orders),
        capacity=options.CapacityMode(capacity),
        placement=Placement(placement),
    )
    process = process_module.GatewayProcess(settings, path, options=switches)
    exit_code = 0
    is_stopping = False

    def stop(*_: object) -> None:
        reactor.callFromThread(begin_stop)

    def begin_stop() -> None:
        nonlocal is_stopping
        if is_stopping:
            return
        is_stopping = True
        stopped = defer.Deferred.fromCoroutine(process.stop())
        stopped.addErrback(failed)
        stopped.addBoth(lambda _: reactor.stop())

    def failed(failure: Any) -> None:
        nonlocal exit_code
        exit_code = EXIT_FAILED
        logs.for_part('instance').error(
            'Stop failed.', cause=failure.getTraceback()
        )

    def begin() -> None:
        signal.signal(signal.SIGTERM, stop)
        signal.signal(
            signal.SIGHUP,
            lambda *_: reactor.callFromThread(process.reload),
        )
        process.start()
        # Loaded modules are never freed; keep them out of later collections.
        gc.collect()
        gc.freeze()

    reactor.callWhenRunning(begin)
    reactor.run()
    sink.close()
    sys.exit(exit_code)


def _read_settings(
    explicit_path: pathlib.Path | None,
) -> tuple[pathlib.Path, settings_file.InstanceSettings]:
    path = explicit_path or settings_file.path_from_environment()
    try:
        return path, settings_file.read(path)
    except errors.SettingsInvalid as error:
        click.echo(error.message, err=True)
        sys.exit(EXIT_SETTINGS_INVALID)
