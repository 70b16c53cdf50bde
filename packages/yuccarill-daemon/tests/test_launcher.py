"""Test which modules the command yuccarilld loads."""

from __future__ import annotations

import subprocess
import sys
import unittest

_SCRIPT = """
import sys
from yuccarill.daemon import launcher
sys.argv = ['yuccarilld', '--help']
try:
    launcher.main()
except SystemExit:
    print('\\n'.join(name for name, module in sys.modules.items() if module))
"""


class LauncherTest(unittest.TestCase):
    def test_no_tls_library_is_loaded(self) -> None:
        finished = subprocess.run(
            [sys.executable, '-c', _SCRIPT],
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = set(finished.stdout.split())
        self.assertIn('yuccarill.daemon.instance', loaded)
        tls = {'OpenSSL', '_hashlib', '_ssl', 'cryptography'}
        self.assertEqual(set(), loaded & tls)
