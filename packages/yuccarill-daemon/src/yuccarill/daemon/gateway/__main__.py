"""Run one instance on the users' platform."""

from __future__ import annotations

import sys

from yuccarill.daemon import left_out

# Loaded where they are found and never used, as the daemon's launcher says.
for _name in ('OpenSSL', '_hashlib', 'ctypes'):
    sys.modules[_name] = None  # type: ignore[assignment]
# Libraries do not load without these: links are plain TCP over Twisted's own
# loop, forms and files are not read, and metrics have a server of their own.
left_out.leave_out(
    'calendar',
    'email',
    'email.message',
    'gzip',
    'html',
    'http.cookiejar',
    'http.server',
    'msgspec.inspect',
    'socketserver',
    'ssl',
    'structlog.stdlib',
    'tempfile',
    'twisted.cred.credentials',
    'twisted.internet.udp',
    'twisted.internet.unix',
    'twisted.python.filepath',
    'urllib.request',
    'wsgiref.simple_server',
)
left_out.leave_out_asyncio()
left_out.leave_out_typing_extensions()

from yuccarill.daemon.gateway import application  # noqa: E402

application.main()
