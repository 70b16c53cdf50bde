"""Run one instance on the users' platform."""

from __future__ import annotations

import sys

# Loaded where they are found and never used, as the daemon's launcher says.
# The metrics library insists on the interpreter's own TLS module.
for _name in ('OpenSSL', '_hashlib'):
    sys.modules[_name] = None  # type: ignore[assignment]

from yuccarill.daemon.gateway import application  # noqa: E402

application.main()
