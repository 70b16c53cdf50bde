"""Tell whether an answer is whole and belongs to its own request."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.standins import tokens

if TYPE_CHECKING:
    from yuccarill.standins.client import Reply
    from yuccarill.standins.demo.records import Ask

SEED = 0


def is_own_call(ask: Ask, body: Any, reply: Reply) -> bool:
    """Check a plain service's answer, and say in the record what is wrong."""
    told = _loaded(reply.body)
    is_own = (
        isinstance(told, dict)
        and told.get('request_id') == ask.request_id
        and json.loads(told.get('body') or 'null') == body
    )
    if not is_own:
        ask.detail = f'not its own: {reply.body[:200]!r}'
    return is_own


def is_own_stream(ask: Ask, count: int, reply: Reply) -> bool:
    """Check a streamed answer, and say in the record what is wrong."""
    lines = [_loaded(line) for line in reply.body.splitlines()]
    if not lines or lines[-1] != {'done': True}:
        ask.detail = f'no end: {reply.body[-200:]!r}'
        return False
    position = 0
    for chunk in lines[:-1]:
        end = position + len(chunk['tokens'])
        version = chunk['weight_version']
        made = tokens.make(ask.request_id, SEED, version, range(position, end))
        if made != chunk['tokens']:
            ask.detail = f'wrong tokens at {position}'
            return False
        position = end
    if position != count:
        ask.detail = f'{position} tokens for {count}'
    return position == count


def _loaded(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None
