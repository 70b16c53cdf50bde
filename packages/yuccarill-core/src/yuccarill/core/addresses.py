"""Addresses as operators write them: an IP number and a port."""

from __future__ import annotations

import functools
import ipaddress

MAX_PORT = 65535
MAX_DIGITS = len(str(MAX_PORT))


# Each change of a target's entry asks it of the same address again.
@functools.lru_cache(maxsize=4096)
def is_host(text: str) -> bool:
    """Tell whether a text is an IP number that others can connect to."""
    # The endpoints are those of IPv4. Peers and callers connect to what is
    # written, so "any address" would send them to themselves.
    try:
        number = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (number.is_unspecified or number.is_multicast)


def is_address(text: str) -> bool:
    """Tell whether a text is an IP number and a port."""
    host, _, port = text.rpartition(':')
    # Digits of other scripts are decimal too, but nobody connects to them.
    if not (port.isascii() and port.isdecimal() and len(port) <= MAX_DIGITS):
        return False
    return is_host(host) and 0 < int(port) <= MAX_PORT
