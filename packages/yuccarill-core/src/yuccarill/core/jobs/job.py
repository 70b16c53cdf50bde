"""Hold what a trainer asks for in one batch job, and what it gets."""

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
    """Hold the call that scores one finished text."""

    id: RequestId
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one generation that a trainer asks for."""

    id: ItemId
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # Prompt tokens and the most that may be generated.
    tokens: int
    group: GroupId
    # Tokens that the client expects to be generated, if it says so.
    hinted_tokens: int | None = None
    score_request: ScoreRequest | None = None


class JobShare(msgspec.Struct, frozen=True, kw_only=True):
    """Say which part of which job a share is."""

    job: JobId
    number: int


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one accepted batch job."""

    id: JobId
    service: ServiceName
    host: str
    route: str
    # Whose it is; none where the configuration names no accounts.
    account: AccountName | None = None
    step: int = 0
    model: ModelName | None = None
    # The oldest weights that may make any part of a text.
    min_version: WeightVersion = WeightVersion(0)
    # Complete groups that the trainer waits for.
    wanted_groups: int = 0
    is_single_version: bool = False
    max_attempts: int = 1
    submitted_at: WallTime
    due_at: WallTime
    # An unfinished item may be given up from then on.
    retained_until: WallTime
    items: tuple[Item, ...] = ()
    # Set where this is one holder's share of a job.
    share: JobShare | None = None


class ResultState(enum.Enum):
    """Say how an item ended."""

    COMPLETED = 'completed'
    FAILED = 'failed'


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how one item ended, as it is listed to its trainer."""

    id: ItemId
    state: ResultState
    text: str = ''
    # Every weight version that made a part of the text, ascending.
    versions: tuple[WeightVersion, ...] = ()
    score: str = ''
