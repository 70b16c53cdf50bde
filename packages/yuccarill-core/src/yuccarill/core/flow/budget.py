"""Bound what a process holds for others."""

from __future__ import annotations

import dataclasses
import enum
from typing import NewType
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from yuccarill.core.ids import AccountName

HolderId = NewType('HolderId', int)

# Bytes that a process takes with nothing held.
BASE_BYTES = 64 << 20
# Room that one long body needs, however small the machine is.
MIN_PROCESS_BYTES = 16 << 20
# Bytes of one answer that are taken in ahead of its client.
REQUEST_BYTES = 256 << 10
# Parts of what a process may hold.
CONNECTION_PART = 8
ACCOUNT_PART = 2
# Part of its bound at which a process takes nothing in ahead any more.
AHEAD_PART = 2


class MemoryBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Set how many bytes may be held, from the machine's memory."""

    request: int
    connection: int
    account: int
    process: int


def bounds(memory: int) -> MemoryBounds:
    """Return the bounds for a machine with some bytes of memory."""
    # What is held may be there twice while it is copied for a socket.
    process = max(MIN_PROCESS_BYTES, (memory - BASE_BYTES) // 2)
    return MemoryBounds(
        request=REQUEST_BYTES,
        connection=process // CONNECTION_PART,
        account=process // ACCOUNT_PART,
        process=process,
    )


class Holding(enum.Enum):
    """Say what bytes are held for."""

    # A body that a client still sends, or that no target has taken.
    REQUEST_BODY = 'request body'
    # An answer that its client has not read.
    ANSWER = 'answer'


class Pressure(enum.Enum):
    """Say what is to be done for bytes that come."""

    NONE = 'none'
    # Read no more from whoever sends them.
    PAUSE = 'pause'
    # Give up what holds them.
    DROP = 'drop'


class Stage(enum.Enum):
    """Say how far a request is."""

    # Its body is not whole; nothing of it has run.
    ARRIVING = 'arriving'
    # It is served, and ends by its own deadline.
    SERVED = 'served'
    # Its client reads the answer.
    ANSWERED = 'answered'
    # As before, and the client can ask for the rest.
    RESUMABLE = 'resumable'


# Those that may be given up, the least harmful first. A body that is still
# sent belongs to a client that works; one that reads slowly has had its turn.
DROP_ORDER = (Stage.RESUMABLE, Stage.ARRIVING, Stage.ANSWERED)


@dataclasses.dataclass
class Holder:
    """Hold the account of one connection's request."""

    id: HolderId
    account: AccountName | None = None
    stage: Stage = Stage.ARRIVING
    bytes_by_holding: dict[Holding, int] = dataclasses.field(
        default_factory=dict
    )

    @property
    def held(self) -> int:
        return sum(self.bytes_by_holding.values())


class Scope(enum.Enum):
    """Name a bound."""

    ACCOUNT = 'account'
    PROCESS = 'process'


class Drop(msgspec.Struct, frozen=True, kw_only=True):
    """Name a holder that is to be given up, and why."""

    holder: HolderId
    stage: Stage
    # The bound that was passed.
    scope: Scope


class MemoryBudget:
    """Account for what is held, and decide who goes over a bound."""

    def __init__(self, bounds: MemoryBounds) -> None:
        self.bounds = bounds
        self.held = 0
        self._holders_by_id: dict[HolderId, Holder] = {}
        self._held_by_account: dict[AccountName, int] = {}

    def hold(self, holder: Holder, holding: Holding, count: int) -> Pressure:
        """Note how many bytes a holder holds of a kind now."""
        before = holder.bytes_by_holding.get(holding, 0)
        if count:
            holder.bytes_by_holding[holding] = count
            self._holders_by_id[holder.id] = holder
        else:
            holder.bytes_by_holding.pop(holding, None)
            if not holder.bytes_by_holding:
                self._holders_by_id.pop(holder.id, None)
        self._add(holder.account, count - before)
        return self._pressure(holder, holding, count)

    def own(self, holder: Holder, account: AccountName | None) -> None:
        """Note whose request a holder serves."""
        if account != holder.account:
            held = holder.held
            self._add(holder.account, -held)
            holder.account = account
            self._add(account, held)

    def release(self, holder: Holder) -> None:
        """Forget a holder that has ended."""
        for holding in list(holder.bytes_by_holding):
            self.hold(holder, holding, 0)

    def drops(self) -> list[Drop]:
        """Return who is to be given up, in order, until every bound holds."""
        found: list[Drop] = []
        for account, held in self._held_by_account.items():
            if held > self.bounds.account:
                found += self._choose(
                    held - self.bounds.account,
                    [
                        holder
                        for holder in self._holders_by_id.values()
                        if holder.account == account
                    ],
                    Scope.ACCOUNT,
                )
        chosen = {drop.holder for drop in found}
        freed = sum(self._holders_by_id[each].held for each in chosen)
        left = [
            holder
            for holder in self._holders_by_id.values()
            if holder.id not in chosen
        ]
        excess = self.held - freed - self.bounds.process
        return found + self._choose(excess, left, Scope.PROCESS)

    def _choose(
        self, excess: int, holders: list[Holder], scope: Scope
    ) -> list[Drop]:
        found: list[Drop] = []
        for stage in DROP_ORDER:
            ranked = sorted(
                (each for each in holders if each.stage is stage),
                key=lambda each: (-each.held, each.id),
            )
            for holder in ranked:
                if excess <= 0:
                    return found
                excess -= holder.held
                found.append(Drop(holder=holder.id, stage=stage, scope=scope))
        return found

    def _pressure(
        self, holder: Holder, holding: Holding, count: int
    ) -> Pressure:
        of_account = (
            0
            if holder.account is None
            else self._held_by_account.get(holder.account, 0)
        )
        if self.held > self.bounds.process or of_account > self.bounds.account:
            return Pressure.DROP
        if holding is Holding.REQUEST_BODY or not count:
            # A body that waits for others' bytes to go might wait for good.
            return Pressure.NONE
        # A target cuts what stays unread, which only a stream that may be
        # resumed can bear.
        ahead = (
            self.bounds.request
            if holder.stage is Stage.RESUMABLE
            else self.bounds.connection
        )
        is_ahead = (
            holder.held > ahead
            or self.held > self.bounds.process // AHEAD_PART
            or of_account > self.bounds.account // AHEAD_PART
        )
        return Pressure.PAUSE if is_ahead else Pressure.NONE

    def _add(self, account: AccountName | None, count: int) -> None:
        self.held += count
        if account is None or not count:
            return
        total = self._held_by_account.get(account, 0) + count
        if total:
            self._held_by_account[account] = total
        else:
            self._held_by_account.pop(account, None)
