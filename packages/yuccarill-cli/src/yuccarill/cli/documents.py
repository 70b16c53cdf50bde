"""Read inventory documents from files."""

from __future__ import annotations

import json
import pathlib
import tomllib
from typing import Any

import click
import msgspec

from yuccarill.cli.exit_codes import ExitCode
from yuccarill.cli import failures
from yuccarill.core.config.inventory import Inventory
from yuccarill.core.config import reader
from yuccarill.core import errors

argument = click.argument(
    'file',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)


class Loaded(msgspec.Struct, frozen=True):
    """Hold a file's document, checked and as it was written."""

    inventory: Inventory
    plain: Any


def load(path: pathlib.Path) -> Loaded:
    """Read and check a file.

    Raises CommandFailure with every fault that was found.
    """
    form = 'json' if path.suffix == '.json' else 'toml'
    try:
        text = path.read_text()
        inventory = reader.read(text, form)
    except errors.InventoryInvalid as error:
        raise _invalid(path, error.message.splitlines()) from error
    except (OSError, UnicodeDecodeError) as error:
        raise _invalid(path, [f'{error}; write UTF-8 text']) from error
    plain = json.loads(text) if form == 'json' else tomllib.loads(text)
    return Loaded(inventory, plain)


def _invalid(path: pathlib.Path, faults: list[str]) -> failures.CommandFailure:
    lines = [f'{path}: {fault}' for fault in faults]
    lines.insert(0, f'{len(faults)} faults.')
    return failures.CommandFailure('\n'.join(lines), ExitCode.INVALID)
