"""Read inventory documents from files."""

from __future__ import annotations

import json
import pathlib
import tomllib
from typing import Any

import click

from yuccarill.core.config import reader
from yuccarill.core import errors

EXIT_INVALID = 2


def load(path: pathlib.Path) -> Any:
    """Return a file's document as plain values, once it is checked."""
    form = 'json' if path.suffix == '.json' else 'toml'
    text = path.read_text()
    try:
        reader.read(text, form)
    except errors.InventoryInvalid as error:
        for fault in error.message.splitlines():
            click.echo(f'{path}: {fault}', err=True)
        raise SystemExit(EXIT_INVALID) from error
    return json.loads(text) if form == 'json' else tomllib.loads(text)
