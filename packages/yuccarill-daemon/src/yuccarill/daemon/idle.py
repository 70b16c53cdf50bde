"""Run as a placeholder process on machines with a disk.

The platform requires a process on each machine class, but durable data is in
the platform's store. Few imports save memory.
"""

from __future__ import annotations

import json
import signal
import sys
import time


def _log(event: str) -> None:
    line = {'event': f'idle: {event}', 'timestamp': time.time()}
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()


def main() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopping = {signal.SIGTERM, signal.SIGINT}
    reloading = {signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, stopping | reloading)
    _log('Started.')
    while signal.sigwait(stopping | reloading) in reloading:
        _log('Settings reload ignored; this process has no settings.')
    _log('Stopped.')


if __name__ == '__main__':
    main()
