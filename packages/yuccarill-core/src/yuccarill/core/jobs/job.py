"""Define the records of a batch job: items and results."""

from __future__ import annotations

import enum
from typing import NewType

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WeightVersion

JobId = NewType('JobId', str)
ItemId = NewType('ItemId', str)
GroupId = NewType('GroupId', str)


class ScoreRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the HTTP request that scores one finished text."""

    id: RequestId
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one text that a trainer requests."""

    id: ItemId
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # Prompt tokens plus the maximum of generated tokens.
    tokens: int
    group: GroupId
    # Generated tokens that the client expects.
    hinted_tokens: int | None = None
    score_request: ScoreRequest | None = None


class JobShare(msgspec.Struct, frozen=True, kw_only=True):
    """Identify one partition's share of a job."""

    job: JobId
    number: int


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one accepted batch job."""

    id: JobId
    service: ServiceName
    host: str
    route: str
    # Client account, None if the configuration has no accounts.
    account: AccountName | None = None
    step: int = 0
    model: ModelName | None = None
    # Oldest weight version that may generate any part of a text.
    min_version: WeightVersion = WeightVersion(0)
    # Number of complete groups that the trainer needs.
    wanted_groups: int = 0
    is_single_version: bool = False
    max_attempts: int = 1
    # Version of the configuration under which the job was accepted.
    accepted_version: int = 0
    submitted_at: WallTime
    due_at: WallTime
    # Unfinished items fail after this time.
    retained_until: WallTime
    items: tuple[Item, ...] = ()
    # Set if this job is the share of one partition.
    share: JobShare | None = None


class ResultState(enum.Enum):
    """Enumerate the outcomes of an item."""

    COMPLETED = 'completed'
    FAILED = 'failed'


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the outcome of one item for its trainer."""

    id: ItemId
    state: ResultState
    text: str = ''
    # Weight versions that generated the text, ascending.
    versions: tuple[WeightVersion, ...] = ()
    score: str = ''
