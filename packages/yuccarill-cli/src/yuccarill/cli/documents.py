"""Load inventory documents from files."""

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

file_argument = click.argument(
    'file',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)


class LoadedDocument(msgspec.Struct, frozen=True):
    """A validated inventory and the document that it was read from."""

    inventory: Inventory
    raw: Any


def load(path: pathlib.Path) -> LoadedDocument:
    """Read and validate an inventory file.

    Raises CommandFailure with every fault found.
    """
    file_format = 'json' if path.suffix == '.json' else 'toml'
    try:
        text = path.read_text()
        inventory = reader.read(text, file_format)
    except errors.InventoryInvalid as error:
        raise _invalid_document(path, error.message.splitlines()) from error
    except (OSError, UnicodeDecodeError) as error:
        raise _invalid_document(
            path, [f'{error}; the file must be readable UTF-8 text']
        ) from error
    raw = json.loads(text) if file_format == 'json' else tomllib.loads(text)
    return LoadedDocument(inventory, raw)


def _invalid_document(
    path: pathlib.Path, faults: list[str]
) -> failures.CommandFailure:
    lines = [f'{path}: {fault}' for fault in faults]
    lines.insert(0, f'{len(faults)} faults.')
    return failures.CommandFailure('\n'.join(lines), ExitCode.INVALID)
