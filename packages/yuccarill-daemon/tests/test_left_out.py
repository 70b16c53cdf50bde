"""Test what the gateway's process loads."""

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


def run(*words: str) -> tuple[list[str], str]:
    """Run the command; returns what is loaded and what it said."""
    finished = subprocess.run(
        [sys.executable, '-c', _SCRIPT, *words],
        capture_output=True,
        check=True,
        text=True,
    )
    return finished.stdout.splitlines(), finished.stderr


class LeftOutTest(unittest.TestCase):
    def test_what_is_never_used_is_not_loaded(self) -> None:
        """Guard against memory for modules that nothing here uses."""
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

    def test_a_use_of_what_is_left_out_says_so(self) -> None:
        """Guard against a stand-in that is taken for the module itself."""
        loaded, _ = run('--settings-file', '/dev/null')
        self.assertIn('ssl.SSLContext was left out.', loaded)
        self.assertIn('coroutine False done', loaded)

    def test_faults_of_the_command_line(self) -> None:
        for words, said in (
            (['--settings-file', '/dev/null'], 'node: is missing'),
            (['--log-level', 'loud'], "'loud' is not one of"),
            (['--other'], "No such option '--other'"),
            (['word'], 'Got unexpected extra argument (word)'),
        ):
            lines, errors = run(*words)
            self.assertEqual('2', lines[0], words)
            self.assertIn(said, errors)
