"""Start one gateway instance."""

from __future__ import annotations

import sys

from yuccarill.daemon import module_stubs

# Block the optional imports of libraries that the gateway never uses.
for _name in ('OpenSSL', '_hashlib', 'ctypes'):
    sys.modules[_name] = None  # type: ignore[assignment]
# Libraries import these, but the gateway uses no TLS, asyncio, forms or files
# and serves its metrics itself.
module_stubs.stub_modules(
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
module_stubs.stub_asyncio()
module_stubs.stub_typing_extensions()

from yuccarill.daemon.gateway import application  # noqa: E402

application.main()
