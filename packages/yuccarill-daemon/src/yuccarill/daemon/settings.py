"""Settings of an instance, as listed in docs/settings.md."""

from __future__ import annotations

import enum
import pathlib
from typing import Annotated

import msgspec

from yuccarill.core import addresses
from yuccarill.daemon.setting_types import Check
from yuccarill.daemon.setting_types import Help


class LogFormat(enum.Enum):
    """The format of log lines."""

    TEXT = 'text'
    JSON = 'json'


class LogLevel(enum.Enum):
    """The lowest level of log lines that are written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


def _is_folder(text: str) -> bool:
    return pathlib.Path(text).is_dir()


_Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r'\A[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z',
        description='a name of letters, digits, ".", "_" and "-"',
    ),
]
_Host = Annotated[
    str,
    msgspec.Meta(description='the IPv4 number that others connect to'),
    Check(addresses.is_host),
]
_Port = Annotated[
    int,
    msgspec.Meta(
        ge=1, le=addresses.MAX_PORT, description='a port, 1 to 65535'
    ),
]
_Address = Annotated[
    str,
    msgspec.Meta(
        description='an IPv4 number and a port, as 127.0.0.1:9000',
    ),
    Check(addresses.is_address),
]
_Folder = Annotated[
    str,
    msgspec.Meta(description='a folder that exists'),
    Check(_is_folder),
]
_Seconds = Annotated[
    float,
    msgspec.Meta(gt=0, le=86_400, description='seconds, above 0 to 86400'),
]
_Rate = Annotated[
    float,
    msgspec.Meta(gt=0, le=1e6, description='a number a second, above 0'),
]


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of an instance."""

    instance: Annotated[_Name, Help('Name in the instance list.')]
    data_centre: Annotated[_Name, Help('Data centre it stands in.')]
    host: Annotated[_Host, Help('IP number to serve on.')]
    http_port: Annotated[
        _Port, Help('Port for callers, trainers and operators.')
    ]
    peer_port: Annotated[_Port, Help('Port for other instances.')]
    key_value: Annotated[_Address, Help('The key-value service.')]
    instance_list: Annotated[_Address, Help('The instance list.')]
    weight_store: Annotated[_Address, Help('The weight store.')]
    data_folder: Annotated[
        _Folder | None, Help('Folder on a disk for bulk data, if any.')
    ] = None
    log_format: Annotated[LogFormat, Help('How log lines are written.')] = (
        LogFormat.TEXT
    )
    log_level: Annotated[
        LogLevel, Help('The lowest level of log lines that are written.')
    ] = LogLevel.INFO
    statsd: Annotated[
        _Address | None, Help('A statsd server, if metrics are wanted.')
    ] = None
    address_validity: Annotated[
        _Seconds, Help('How long callers may keep the addresses they got.')
    ] = 5.0
    stop_timeout: Annotated[
        _Seconds, Help('How long a graceful shutdown waits at most.')
    ] = 30.0
    weight_downloads: Annotated[
        _Rate, Help('Downloads the weight store may be asked for in all.')
    ] = 50.0
