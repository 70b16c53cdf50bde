"""Addresses as operators write them: an IP number and a port."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65535


def is_address(text: str) -> bool:
    """Tell whether a text is an IP number and a port."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= MAX_PORT
