"""Limit the memory that a process uses for requests and answers."""

from __future__ import annotations

import dataclasses
import enum
from typing import NewType
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from yuccarill.core.ids import AccountName

HolderId = NewType('HolderId', int)

# Bytes that a process uses apart from buffered data.
BASE_BYTES = 64 << 20
# Minimum bound of a process, so that a body of maximum length fits.
MIN_PROCESS_BYTES = 16 << 20
# Bytes of a resumable answer that are buffered ahead of its client.
REQUEST_BYTES = 256 << 10
# Divisors of the process bound for one connection and one account.
CONNECTION_PART = 8
ACCOUNT_PART = 2
# Divisor of the account and process bounds above which answers are paused.
AHEAD_PART = 2


class MemoryBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Store the maximum numbers of buffered bytes."""

    request: int
    connection: int
    account: int
    process: int


def bounds(memory: int) -> MemoryBounds:
    """Return the bounds for a machine's memory in bytes."""
    # Buffered data may exist twice while it is copied to a socket.
    process = max(MIN_PROCESS_BYTES, (memory - BASE_BYTES) // 2)
    return MemoryBounds(
        request=REQUEST_BYTES,
        connection=process // CONNECTION_PART,
        account=process // ACCOUNT_PART,
        process=process,
    )


class BufferKind(enum.Enum):
    """List the kinds of buffered data."""

    # A body that is incomplete or not yet sent to a target.
    REQUEST_BODY = 'request body'
    # Part of an answer that the client has not read.
    ANSWER = 'answer'


class Pressure(enum.Enum):
    """List the reactions to received bytes."""

    NONE = 'none'
    # Stop reading from the sender.
    PAUSE = 'pause'
    # Drop requests, as chosen by `MemoryBudget.choose_drops`.
    DROP = 'drop'


class RequestStage(enum.Enum):
    """List the stages of a request."""

    # The body is incomplete; nothing has run.
    ARRIVING = 'arriving'
    # A target serves the request, which ends by its own deadline.
    SERVED = 'served'
    # The client reads the answer.
    ANSWERED = 'answered'
    # The client reads the answer and can resume it.
    RESUMABLE = 'resumable'


# Stages that may be dropped, the least harmful first: a client can resume its
# answer, an arriving request has not run, any other unread answer is lost.
DROP_ORDER = (
    RequestStage.RESUMABLE,
    RequestStage.ARRIVING,
    RequestStage.ANSWERED,
)


@dataclasses.dataclass
class Holder:
    """Track the bytes buffered for one connection's request."""

    id: HolderId
    account: AccountName | None = None
    stage: RequestStage = RequestStage.ARRIVING
    bytes_by_kind: dict[BufferKind, int] = dataclasses.field(
        default_factory=dict
    )

    @property
    def held(self) -> int:
        return sum(self.bytes_by_kind.values())


class Scope(enum.Enum):
    """List the bounds that cause drops."""

    ACCOUNT = 'account'
    PROCESS = 'process'


class Drop(msgspec.Struct, frozen=True, kw_only=True):
    """Name a holder to drop and the exceeded bound."""

    holder: HolderId
    stage: RequestStage
    scope: Scope


class MemoryBudget:
    """Count buffered bytes and choose which holders to drop."""

    def __init__(self, bounds: MemoryBounds) -> None:
        self.bounds = bounds
        self.held = 0
        self._holders_by_id: dict[HolderId, Holder] = {}
        self._held_by_account: dict[AccountName, int] = {}

    def set_buffered(
        self, holder: Holder, kind: BufferKind, count: int
    ) -> Pressure:
        """Set a holder's buffered bytes of one kind; return the pressure."""
        before = holder.bytes_by_kind.get(kind, 0)
        if count:
            holder.bytes_by_kind[kind] = count
            self._holders_by_id[holder.id] = holder
        else:
            holder.bytes_by_kind.pop(kind, None)
            if not holder.bytes_by_kind:
                self._holders_by_id.pop(holder.id, None)
        self._add_bytes(holder.account, count - before)
        return self._pressure(holder, kind, count)

    def set_account(self, holder: Holder, account: AccountName | None) -> None:
        """Set the client account of a holder's request."""
        if account != holder.account:
            held = holder.held
            self._add_bytes(holder.account, -held)
            holder.account = account
            self._add_bytes(account, held)

    def release(self, holder: Holder) -> None:
        """Remove a holder whose request has ended."""
        for kind in list(holder.bytes_by_kind):
            self.set_buffered(holder, kind, 0)

    def choose_drops(self) -> list[Drop]:
        """Return the holders to drop, in order, to meet every bound."""
        found: list[Drop] = []
        for account, held in self._held_by_account.items():
            if held > self.bounds.account:
                found += self._choose_drops(
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
        return found + self._choose_drops(excess, left, Scope.PROCESS)

    def _choose_drops(
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
        self, holder: Holder, kind: BufferKind, count: int
    ) -> Pressure:
        of_account = (
            0
            if holder.account is None
            else self._held_by_account.get(holder.account, 0)
        )
        if self.held > self.bounds.process or of_account > self.bounds.account:
            return Pressure.DROP
        if kind is BufferKind.REQUEST_BODY or not count:
            # A paused body could wait indefinitely for other requests.
            return Pressure.NONE
        # A target disconnects if its answer stays unread, so an answer that
        # can't be resumed is buffered up to a larger bound.
        ahead_bound = (
            self.bounds.request
            if holder.stage is RequestStage.RESUMABLE
            else self.bounds.connection
        )
        should_pause = (
            holder.held > ahead_bound
            or self.held > self.bounds.process // AHEAD_PART
            or of_account > self.bounds.account // AHEAD_PART
        )
        return Pressure.PAUSE if should_pause else Pressure.NONE

    def _add_bytes(self, account: AccountName | None, count: int) -> None:
        self.held += count
        if account is None or not count:
            return
        total = self._held_by_account.get(account, 0) + count
        if total:
            self._held_by_account[account] = total
        else:
            self._held_by_account.pop(account, None)
