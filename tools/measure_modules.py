"""Measure what the gateway's process has loaded, by package.

Prints the private memory after all imports, and of that what Python's own
allocators gave to each package while its modules were read
(`--by-package`, which takes memory itself).
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


class Loads:
    """Count the bytes that each module's loading took."""

    def __init__(self) -> None:
        self.bytes_by_module: collections.Counter[str] = collections.Counter()
        self._inner: list[int] = []
        self._load = importlib.machinery.SourceFileLoader.exec_module

    def watch(self) -> None:
        """Count from here on."""
        loads = self

        def exec_module(loader: Any, module: Any) -> None:
            loads.count(loader, module)

        importlib.machinery.SourceFileLoader.exec_module = exec_module
        tracemalloc.start(1)

    def count(self, loader: Any, module: Any) -> None:
        """Load one module; what it imports counts for itself."""
        before = tracemalloc.get_traced_memory()[0]
        self._inner.append(0)
        try:
            self._load(loader, module)
        finally:
            taken = tracemalloc.get_traced_memory()[0] - before
            own = taken - self._inner.pop()
            self.bytes_by_module[module.__name__] += own
            if self._inner:
                self._inner[-1] += taken


def private_kilobytes() -> int:
    """Return the private memory of this process."""
    lines = pathlib.Path('/proc/self/status').read_text().splitlines()
    (line,) = [line for line in lines if line.startswith('RssAnon')]
    return int(line.split()[1])


def load() -> None:
    """Load the gateway, which ends for want of settings."""
    sys.argv = ['gateway', '--settings-file', '/dev/null']
    try:
        runpy.run_module(MODULE, run_name='__main__')
    except SystemExit:
        pass


def main(words: list[str]) -> None:
    """Print the figures of one process."""
    # A parser of command lines would be among what is measured.
    by_package = words == ['--by-package']
    loads = Loads()
    if by_package:
        loads.watch()
    load()
    if not by_package:
        print(f'private memory: {private_kilobytes()} kB')
        return
    bytes_by_package: collections.Counter[str] = collections.Counter()
    for name, count in loads.bytes_by_module.items():
        bytes_by_package[name.partition('.')[0]] += count
    print(f'{sum(bytes_by_package.values()) // KILOBYTE} kB in all')
    for name, count in bytes_by_package.most_common(12):
        print(f'{name}: {count // KILOBYTE} kB')


if __name__ == '__main__':
    main(sys.argv[1:])
