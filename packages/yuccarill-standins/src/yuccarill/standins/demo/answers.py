"""Check that an answer is complete and belongs to its request."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.standins import tokens

if TYPE_CHECKING:
    from yuccarill.standins.client import Reply
    from yuccarill.standins.demo.records import Ask

SEED = 0


def is_valid_answer(ask: Ask, body: Any, reply: Reply) -> bool:
    """Check the answer of a plain service; record what is wrong."""
    payload = _parse_json(reply.body)
    is_valid = (
        isinstance(payload, dict)
        and payload.get('request_id') == ask.request_id
        and json.loads(payload.get('body') or 'null') == body
    )
    if not is_valid:
        ask.detail = f'answer to another request: {reply.body[:200]!r}'
    return is_valid


def is_valid_stream(ask: Ask, count: int, reply: Reply) -> bool:
    """Check a streamed answer; record what is wrong."""
    lines = [_parse_json(line) for line in reply.body.splitlines()]
    if not lines or lines[-1] != {'done': True}:
        ask.detail = f'incomplete stream: {reply.body[-200:]!r}'
        return False
    position = 0
    for chunk in lines[:-1]:
        end = position + len(chunk['tokens'])
        version = chunk['weight_version']
        expected = tokens.generate(
            ask.request_id, SEED, version, range(position, end)
        )
        if expected != chunk['tokens']:
            ask.detail = f'wrong tokens at {position}'
            return False
        position = end
    if position != count:
        ask.detail = f'{position} tokens instead of {count}'
    return position == count


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None
