"""The command yuccarilld."""

from __future__ import annotations

import os
import signal
import sys
from typing import Any
from typing import TYPE_CHECKING

import click
from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.core import errors
from yuccarill.core.membership.shutdown import StopOutcome
from yuccarill.daemon import instance
from yuccarill.daemon import logs
from yuccarill.daemon import metrics
from yuccarill.daemon import setting_reader

if TYPE_CHECKING:
    from yuccarill.daemon.settings import Settings

EXIT_FAILED = 1
EXIT_SETTINGS_INVALID = 2
# Shutdown aborted work in flight, on timeout or after a second signal.
EXIT_CUT = 3


def _options() -> list[click.Option]:
    # setting_reader converts the values and reports all errors; click would
    # stop at the first.
    return [
        click.Option(
            [setting.flag],
            metavar='TEXT',
            envvar=setting.variable,
            show_envvar=True,
            show_default=setting.default or False,
            help=f'{setting.help} Write {setting.valid_values}.',
        )
        for setting in setting_reader.all_settings()
    ]


def _read_settings(text_by_name: dict[str, str | None]) -> Settings:
    for warning in setting_reader.unknown_variables(os.environ):
        click.echo(f'Warning: {warning}', err=True)
    try:
        return setting_reader.read(text_by_name)
    except errors.SettingsInvalid as error:
        click.echo(error.message, err=True)
        sys.exit(EXIT_SETTINGS_INVALID)


@click.command(params=_options())
@click.option(
    '--check-settings',
    is_flag=True,
    envvar=setting_reader.PREFIX + setting_reader.CHECK_SETTINGS.upper(),
    help='Check the settings and end.',
)
def main(check_settings: bool, **text_by_name: str | None) -> None:
    """Run one instance of yuccarill."""
    settings = _read_settings(text_by_name)
    if check_settings:
        click.echo('The settings are valid.')
        return
    logs.configure(settings.log_format, settings.log_level)
    metrics.configure(settings.statsd)
    process = instance.InstanceProcess(settings)
    has_signal = False
    exit_code = 0

    def stop(*_: object) -> None:
        reactor.callFromThread(begin_stop)

    def begin_stop() -> None:
        nonlocal has_signal
        stopped = defer.ensureDeferred(process.stop())
        # A second signal shortens the shutdown that the first one began.
        if not has_signal:
            has_signal = True
            stopped.addCallbacks(on_stopped, on_failure)

    def on_stopped(outcome: StopOutcome) -> None:
        nonlocal exit_code
        if outcome is StopOutcome.CUT:
            exit_code = EXIT_CUT
        reactor.stop()

    def begin() -> None:
        signal.signal(signal.SIGTERM, stop)
        started = defer.ensureDeferred(process.start())
        started.addErrback(on_failure)

    def on_failure(failure: Any) -> None:
        nonlocal exit_code
        exit_code = EXIT_FAILED
        logs.for_part('instance').error(
            'Instance start or stop failed.', cause=failure.getErrorMessage()
        )
        reactor.stop()

    reactor.callWhenRunning(begin)
    reactor.run()
    sys.exit(exit_code)
