"""The command that runs one instance on the users' platform."""

from __future__ import annotations

import gc
import getopt
import os
import pathlib
import signal
import sys
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.core import errors
from yuccarill.daemon.gateway import log_sink
from yuccarill.daemon.gateway import process as process_module
from yuccarill.daemon import logs
from yuccarill.daemon.settings import LogLevel
from yuccarill.platform import settings_file

EXIT_FAILED = 1
EXIT_SETTINGS_INVALID = 2
STDOUT = 1
LOG_LEVEL_VARIABLE = 'YUCCARILL_LOG_LEVEL'
USAGE = """options:
  --settings-file FILE  the settings file that the platform writes
  --log-level LEVEL     the lowest level of log lines that are written
  --check-settings      check the settings and end
"""


class Options(msgspec.Struct, kw_only=True):
    """Hold what the command line says."""

    settings_file: pathlib.Path
    log_level: LogLevel
    is_check: bool = False


def main() -> None:
    """Run one instance of yuccarill on the users' platform."""
    options = _options(sys.argv[1:])
    path = options.settings_file
    settings = _read(path)
    if options.is_check:
        sys.stdout.write('The settings are valid.\n')
        return
    sink = log_sink.LogSink(STDOUT, reactor)
    logs.configure_stream(sink, options.log_level)
    process = process_module.GatewayProcess(settings, path)
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
        # What is loaded stays for good: it is not looked through again.
        gc.collect()
        gc.freeze()

    reactor.callWhenRunning(begin)
    reactor.run()
    sink.close()
    sys.exit(exit_code)


def _options(words: list[str]) -> Options:
    # The larger parsers of command lines stay in memory for good.
    try:
        given, rest = getopt.getopt(
            words, '', ['settings-file=', 'log-level=', 'check-settings']
        )
        values = dict(given)
        if rest:
            raise getopt.GetoptError(f'{rest[0]}: no such argument')
        level = values.get('--log-level') or os.environ.get(
            LOG_LEVEL_VARIABLE, LogLevel.INFO.value
        )
        file = values.get('--settings-file')
        return Options(
            settings_file=pathlib.Path(file)
            if file
            else settings_file.path_from_environment(),
            log_level=LogLevel(level),
            is_check='--check-settings' in values,
        )
    except (getopt.GetoptError, ValueError) as error:
        sys.stderr.write(f'{error}\n{USAGE}')
        sys.exit(EXIT_SETTINGS_INVALID)


def _read(path: pathlib.Path) -> settings_file.InstanceSettings:
    try:
        return settings_file.read(path)
    except errors.SettingsInvalid as error:
        sys.stderr.write(f'{error.message}\n')
        sys.exit(EXIT_SETTINGS_INVALID)
