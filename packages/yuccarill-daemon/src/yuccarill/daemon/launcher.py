"""Start yuccarilld without the TLS libraries, which it does not use."""

from __future__ import annotations

import sys

# Optional imports of Twisted, asyncio and hashlib. An instance uses only
# plain TCP, and these libraries would increase its resident memory.
_UNUSED_MODULES = ('OpenSSL', '_hashlib', 'ssl')


def main() -> None:
    """Run the command yuccarilld."""
    for name in _UNUSED_MODULES:
        # A None entry makes the import fail as if it were not installed.
        sys.modules[name] = None  # type: ignore[assignment]
    from yuccarill.daemon import application

    application.main()
