"""Validate addresses of the form IPv4:PORT."""

from __future__ import annotations

import functools
import ipaddress

MAX_PORT = 65535
PORT_DIGITS = len(str(MAX_PORT))


# Cached: every update of a target checks the same address again.
@functools.lru_cache(maxsize=4096)
def is_host(text: str) -> bool:
    """Return whether a text is an IPv4 address that peers can dial."""
    # Peers and callers dial this address; with 0.0.0.0 each of them would
    # connect to itself.
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)


def is_address(text: str) -> bool:
    """Return whether a text is a dialable IPv4 address and a port."""
    host, _, port = text.rpartition(':')
    # str.isdecimal() also accepts non-ASCII digits.
    if not (port.isascii() and port.isdecimal() and len(port) <= PORT_DIGITS):
        return False
    return is_host(host) and 0 < int(port) <= MAX_PORT
