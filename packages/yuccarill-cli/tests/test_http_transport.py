"""Test commands over real sockets."""

from __future__ import annotations

import http.server
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import unittest

from yuccarill.cli.exit_codes import ExitCode

ADDRESSES = {'addresses': ['127.0.0.1:1'], 'valid_until': 5.0, 'ticket': 't'}
_SCRIPT = 'from yuccarill.cli import application; application.main()'


class _Instance(http.server.BaseHTTPRequestHandler):
    """Answer reads; close the connection of a write without a reply."""

    def do_GET(self) -> None:  # noqa: N802
        body = json.dumps(ADDRESSES).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_PUT(self) -> None:  # noqa: N802
        self.server.writes += 1  # type: ignore[attr-defined]

    def log_message(self, *_: object) -> None:
        """Suppress request logs."""


class HttpTransportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), _Instance
        )
        self.server.writes = 0  # type: ignore[attr-defined]
        thread = threading.Thread(target=self.server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        # A port that was just released refuses connections.
        with socket.create_server(('127.0.0.1', 0)) as closed:
            self.dead = f'127.0.0.1:{closed.getsockname()[1]}'
        self.live = f'127.0.0.1:{self.server.server_port}'

    def _run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, '-c', _SCRIPT, *arguments],
            capture_output=True,
            text=True,
        )

    def test_reads_from_the_next_address(self) -> None:
        done = self._run(
            '--address', self.dead, '--address', self.live, 'addresses'
        )
        self.assertEqual(ExitCode.OK, done.returncode, done.stderr)
        self.assertIn('127.0.0.1:1\n', done.stdout)

    def test_reports_that_no_address_is_reachable(self) -> None:
        done = self._run('--address', self.dead, 'addresses')
        self.assertEqual(ExitCode.UNREACHABLE, done.returncode)
        self.assertIn('Connection refused', done.stderr)

    # Guards against a change that is sent again after a lost reply. The first
    # address refuses connections; the second closes without a reply.
    def test_change_is_sent_once(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'inventory.toml'
            file.write_text('')
            addresses = (self.dead, self.live, self.live)
            arguments = [w for a in addresses for w in ('--address', a)]
            done = self._run(*arguments, 'apply', str(file), '--base', '0')
        self.assertEqual(ExitCode.OUTCOME_UNKNOWN, done.returncode)
        self.assertEqual(1, self.server.writes)  # type: ignore[attr-defined]
        self.assertIn('--base 0 --change-id', done.stderr)
