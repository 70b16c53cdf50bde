"""Start yuccarilld without the TLS libraries, which it does not use."""

from __future__ import annotations

import sys

# Twisted, asyncio and hashlib load these where they find them, and do
# without where they don't. All links of an instance are plain TCP, and the
# libraries would take a quarter of its resident memory.
_UNUSED = ('OpenSSL', '_hashlib', 'ssl')


def main() -> None:
    """Run the command yuccarilld."""
    for name in _UNUSED:
        # An import of a name that stands for None fails as if the library
        # were not installed.
        sys.modules[name] = None  # type: ignore[assignment]
    from yuccarill.daemon import application

    application.main()
