"""Run one instance on the users' platform."""

from __future__ import annotations

import sys

from yuccarill.daemon import left_out

# Loaded where they are found and never used, as the daemon's launcher says.
for _name in ('OpenSSL', '_hashlib', 'ctypes'):
    sys.modules[_name] = None  # type: ignore[assignment]
# Imported by libraries without which they do not load: links are plain TCP
# over Twisted's own loop, forms are not read, and metrics have a server of
# their own.
left_out.leave_out(
    'email',
    'email.message',
    'html',
    'http.cookiejar',
    'http.server',
    'ssl',
    'urllib.request',
    'wsgiref.simple_server',
)
left_out.leave_out_asyncio()

from yuccarill.daemon.gateway import application  # noqa: E402

application.main()
