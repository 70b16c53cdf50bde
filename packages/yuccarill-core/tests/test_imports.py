"""Test which modules the core imports."""

from __future__ import annotations

import subprocess
import sys
import unittest

# Imports all modules of the core in a new interpreter and prints the loaded
# modules. The core must stay free of I/O, so that it can be embedded.
_SCRIPT = """
import importlib, pkgutil, sys
import yuccarill.core
for found in pkgutil.walk_packages(yuccarill.core.__path__, 'yuccarill.core.'):
    importlib.import_module(found.name)
print('\\n'.join(sys.modules))
"""
_FORBIDDEN = {
    'asyncio',
    'click',
    'klein',
    'select',
    'socket',
    'structlog',
    'treq',
    'yuccarill.cli',
    'yuccarill.daemon',
    'yuccarill.standins',
    'yuccarill.wire',
}


class ImportTest(unittest.TestCase):
    def test_core_imports_no_io_modules(self) -> None:
        finished = subprocess.run(
            [sys.executable, '-c', _SCRIPT],
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = set(finished.stdout.split())
        self.assertIn('yuccarill.core.config.reader', loaded)
        self.assertEqual(set(), loaded & _FORBIDDEN)
        twisted = {name for name in loaded if name.startswith('twisted')}
        self.assertEqual(set(), twisted)
