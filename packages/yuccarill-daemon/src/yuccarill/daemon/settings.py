"""Settings of an instance, checked at start."""

from __future__ import annotations

import ipaddress

import msgspec

from yuccarill.core import errors


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what flags and environment variables say."""

    instance: str
    data_centre: str
    host: str
    http_port: int
    peer_port: int
    key_value: str
    instance_list: str
    weight_store: str
    data_folder: str | None = None
    log_format: str = 'text'
    statsd: str | None = None
    # Seconds for which callers may keep an answer about addresses.
    address_validity: float = 5.0
    # Seconds after which a planned stop no longer waits.
    stop_timeout: float = 30.0
    # Downloads a second that the weight store may be asked for in all.
    weight_downloads: float = 50.0


def check(settings: Settings) -> None:
    """Refuse settings that can't work.

    Raises SettingsInvalid with every fault that was found.
    """
    faults = []
    try:
        ipaddress.ip_address(settings.host)
    except ValueError:
        faults.append(f'--host: {settings.host} is no IP number; write one')
    for flag in ('key_value', 'instance_list', 'weight_store', 'statsd'):
        address = getattr(settings, flag)
        if address is not None and not _is_address(address):
            name = flag.replace('_', '-')
            faults.append(f'--{name}: {address} is wrong; write IP:PORT')
    for flag in ('http_port', 'peer_port'):
        port = getattr(settings, flag)
        if not 0 < port < 65536:
            name = flag.replace('_', '-')
            faults.append(f'--{name}: {port} is no port; write 1 to 65535')
    for flag in ('address_validity', 'stop_timeout', 'weight_downloads'):
        if getattr(settings, flag) <= 0:
            name = flag.replace('_', '-')
            faults.append(f'--{name}: must be above 0')
    if faults:
        raise errors.SettingsInvalid('\n'.join(faults))


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        return 0 < int(port) < 65536
    except ValueError:
        return False
