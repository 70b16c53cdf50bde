"""Measure the memory used by the imports of the gateway process.

Prints the private memory after all imports. With `--by-package`, prints the
memory that Python allocated while importing each package; tracing uses memory
of its own.
"""

from __future__ import annotations

import collections
import importlib.machinery
import pathlib
import runpy
import sys
import tracemalloc
from typing import Any

KILOBYTE = 1000
MODULE = 'yuccarill.daemon.gateway'


class ImportTracer:
    """Trace the memory that importing each module allocates."""

    def __init__(self) -> None:
        self.bytes_by_module: collections.Counter[str] = collections.Counter()
        self._nested_bytes: list[int] = []
        self._exec_module = importlib.machinery.SourceFileLoader.exec_module

    def start(self) -> None:
        """Trace all imports from now on."""
        tracer = self

        def exec_module(loader: Any, module: Any) -> None:
            tracer.load(loader, module)

        importlib.machinery.SourceFileLoader.exec_module = exec_module
        tracemalloc.start(1)

    def load(self, loader: Any, module: Any) -> None:
        """Load a module, counting its own imports separately."""
        before = tracemalloc.get_traced_memory()[0]
        self._nested_bytes.append(0)
        try:
            self._exec_module(loader, module)
        finally:
            allocated = tracemalloc.get_traced_memory()[0] - before
            own = allocated - self._nested_bytes.pop()
            self.bytes_by_module[module.__name__] += own
            if self._nested_bytes:
                self._nested_bytes[-1] += allocated


def private_kilobytes() -> int:
    """Return the private resident memory of this process."""
    lines = pathlib.Path('/proc/self/status').read_text().splitlines()
    (line,) = [line for line in lines if line.startswith('RssAnon')]
    return int(line.split()[1])


def import_gateway() -> None:
    """Import the gateway, which exits for lack of settings."""
    sys.argv = ['gateway', '--settings-file', '/dev/null']
    try:
        runpy.run_module(MODULE, run_name='__main__')
    except SystemExit:
        pass


def main(arguments: list[str]) -> None:
    """Print the memory used by the imports."""
    # No argument parser, since its import would be measured too.
    by_package = arguments == ['--by-package']
    tracer = ImportTracer()
    if by_package:
        tracer.start()
    import_gateway()
    if not by_package:
        print(f'private memory: {private_kilobytes()} kB')
        return
    bytes_by_package: collections.Counter[str] = collections.Counter()
    for name, count in tracer.bytes_by_module.items():
        bytes_by_package[name.partition('.')[0]] += count
    print(f'{sum(bytes_by_package.values()) // KILOBYTE} kB in all')
    for name, count in bytes_by_package.most_common(12):
        print(f'{name}: {count // KILOBYTE} kB')


if __name__ == '__main__':
    main(sys.argv[1:])
