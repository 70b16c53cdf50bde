"""Collect the records of targets and engines."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.standins import client

if TYPE_CHECKING:
    from yuccarill.standins.demo.layout import Layout

READ_SECONDS = 20.0


class Evidence(msgspec.Struct):
    """Records of all targets and engines."""

    # Runs of plain targets by request id.
    runs_by_request: dict[str, list[dict[str, Any]]]
    # Receive times by the id of the target or engine.
    received_by_target: dict[str, list[float]]
    # Seeds of the requests to engines, by prompt.
    seeds_by_prompt: dict[str, set[int]]


async def collect(layout: Layout) -> Evidence:
    """Read the records of every target and engine, removed ones included."""
    evidence = Evidence(
        collections.defaultdict(list),
        collections.defaultdict(list),
        collections.defaultdict(set),
    )
    for entry in layout.inventory['targets']:
        for run in await _read_runs(entry):
            evidence.runs_by_request[run['request_id']].append(run)
            evidence.received_by_target[entry['id']].append(run['received_at'])
    for entry in layout.inventory['engines']:
        for run in await _read_runs(entry):
            evidence.received_by_target[entry['id']].append(run['received_at'])
            evidence.seeds_by_prompt[run['prompt']].add(run['seed'])
    return evidence


async def _read_runs(entry: dict[str, Any]) -> list[dict[str, Any]]:
    url = f'http://{entry["address"]}/admin/runs'
    reply = await client.send('GET', url, seconds=READ_SECONDS)
    runs: list[dict[str, Any]] = reply.json()
    return runs
