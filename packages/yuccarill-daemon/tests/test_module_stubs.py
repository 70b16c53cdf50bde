"""Test which modules the gateway process loads."""

from __future__ import annotations

import subprocess
import sys
import unittest

_SCRIPT = """
import runpy
import sys
sys.argv = ['gateway', *sys.argv[1:]]
try:
    runpy.run_module('yuccarill.daemon.gateway', run_name='__main__')
except SystemExit as end:
    print(end.code)
for name, module in sys.modules.items():
    if getattr(module, '__spec__', None):
        print(name)
from twisted.internet import defer
print('coroutine', defer.iscoroutine(defer.iscoroutine), end=' ')
async def work():
    return 'done'
defer.ensureDeferred(work()).addCallback(print)
import ssl
try:
    ssl.SSLContext()
except Exception as error:
    print(error)
"""


def run(*arguments: str) -> tuple[list[str], str]:
    """Run the gateway; return its output lines and its stderr."""
    finished = subprocess.run(
        [sys.executable, '-c', _SCRIPT, *arguments],
        capture_output=True,
        check=True,
        text=True,
    )
    return finished.stdout.splitlines(), finished.stderr


class ModuleStubsTest(unittest.TestCase):
    def test_unused_modules_are_not_loaded(self) -> None:
        """Guard against memory use by unused modules."""
        loaded, _ = run('--settings-file', '/dev/null')
        self.assertIn('yuccarill.daemon.gateway.process', loaded)
        unused = {
            *('OpenSSL', '_hashlib', 'asyncio', 'ctypes', 'email'),
            *('calendar', 'gzip', 'html', 'http.cookiejar', 'http.server'),
            *('msgspec.inspect', 'socketserver', 'ssl', 'statistics'),
            *('structlog.stdlib', 'typing_extensions'),
            *('tempfile', 'twisted.internet.udp', 'twisted.internet.unix'),
            *('urllib.request', 'wsgiref.simple_server'),
        }
        self.assertEqual(set(), set(loaded) & unused)

    def test_use_of_a_stub_raises(self) -> None:
        """Guard against a stub that is mistaken for the module."""
        loaded, _ = run('--settings-file', '/dev/null')
        self.assertIn('ssl.SSLContext is stubbed out.', loaded)
        self.assertIn('coroutine False done', loaded)

    def test_command_line_errors(self) -> None:
        for arguments, expected in (
            (['--settings-file', '/dev/null'], 'node: is missing'),
            (['--log-level', 'loud'], "'loud' is not one of"),
            (['--other'], "No such option '--other'"),
            (['word'], 'Got unexpected extra argument (word)'),
        ):
            lines, errors = run(*arguments)
            self.assertEqual('2', lines[0], arguments)
            self.assertIn(expected, errors)
