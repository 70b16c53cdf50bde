"""Speak to an instance's interface for operators."""

from __future__ import annotations

import json
from typing import Any
import urllib.error
import urllib.request

import click

CALL_SECONDS = 10.0
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3


def send(address: str, method: str, path: str, value: Any = None) -> Any:
    """Send one request and return its decoded reply."""
    request = urllib.request.Request(
        f'http://{address}/v1/{path}',
        method=method,
        data=None if value is None else json.dumps(value).encode(),
        headers={'Content-Type': 'application/json'},
    )
    try:
        with urllib.request.urlopen(request, timeout=CALL_SECONDS) as reply:
            return json.load(reply)
    except urllib.error.HTTPError as error:
        refusal = json.load(error)
        click.echo(
            f'{refusal["code"]} {refusal["name"]}: {refusal["message"]}',
            err=True,
        )
        raise SystemExit(EXIT_REFUSED) from error
    except OSError as error:
        click.echo(
            f'Instance {address} can not be reached ({error}); name another '
            'with --address.',
            err=True,
        )
        raise SystemExit(EXIT_UNREACHABLE) from error
