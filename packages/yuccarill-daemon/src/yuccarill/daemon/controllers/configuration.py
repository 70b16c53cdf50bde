"""Apply operators' changes and track the configuration in force."""

from __future__ import annotations

import collections
import time
from typing import Any
from typing import TYPE_CHECKING
import uuid

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.config import apply as apply_module
from yuccarill.core.config import deltas
from yuccarill.core.config import documents
from yuccarill.core.config import head as head_module
from yuccarill.core.config import reader
from yuccarill.core.config import store_actions
from yuccarill.core import errors
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime
from yuccarill.daemon.controllers import configuration_intake
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.daemon.controllers.decisions import DecisionRunner
    from yuccarill.daemon.controllers import dissemination as spreading
    from yuccarill.daemon.peers.peers import Peers
    from yuccarill.wire import messages

log = logs.for_part('config')

RESOLVE_RETRY_SECONDS = 1.0
MAX_REFUSALS = 100


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Record an apply that this instance refused."""

    change_id: ChangeId
    author: str
    refused_at: WallTime
    base: Revision
    code: int
    message: str


class ConfigurationController:
    """Apply configuration changes and serve their audit trail."""

    def __init__(
        self,
        blackboard: Blackboard,
        dissemination: spreading.DisseminationController,
        peers: Peers,
        runner: DecisionRunner,
        clock: Any,
    ) -> None:
        self._blackboard = blackboard
        self._dissemination = dissemination
        self._runner = runner
        self._clock = clock
        self._intake = configuration_intake.ConfigurationIntake(
            blackboard, dissemination, peers, runner, clock
        )
        # Refused changes are not written to the platform: each instance keeps
        # its latest ones, and the log contains all of them.
        self.refusals: collections.deque[Refusal] = collections.deque(
            maxlen=MAX_REFUSALS
        )

    async def follow(self) -> None:
        """Keep the newest configuration in force until the process ends."""
        await defer.gatherResults(
            [
                defer.ensureDeferred(self._intake.start()),
                defer.ensureDeferred(
                    self._dissemination.watch(
                        head_module.HEAD_KEY, configuration_intake.from_entry
                    )
                ),
            ],
            consumeErrors=True,
        )

    def handle(
        self, body: messages.ConfigurationFetch
    ) -> messages.ConfigurationDocument:
        """Return the whole configuration document for a peer."""
        return self._intake.document(body)

    async def apply(
        self,
        author: str,
        base: Revision,
        document: object,
        change_id: ChangeId | None = None,
    ) -> apply_module.ApplyResult:
        """Validate a document and store it as the next revision.

        Idempotent by change id. Raises the errors of
        `core.config.apply.apply`.
        """
        change_id = change_id or ChangeId(uuid.uuid4().hex)
        try:
            inventory = deltas.canonical(reader.from_decoded(document))
            request = apply_module.ApplyRequest(
                change_id=change_id,
                author=author,
                applied_at=WallTime(time.time()),
                base=base,
                inventory=inventory,
            )
            return await self._decide(
                apply_module.apply(request, self._blackboard.snapshot), request
            )
        except errors.YuccarillError as error:
            self._record_refusal(author, base, change_id, error)
            raise

    async def audit(self, last: Revision | None = None) -> documents.AuditPage:
        """Return the audit page that ends at a revision, or the newest one.

        Pass `previous` of a page to get the page before it. Raises
        StoreUnavailable, or RequestError if the page does not exist.
        """
        if last is not None:
            return await self._runner.run(documents.read_page(last))
        head, _ = await self._runner.run(
            documents.read_head(store_actions.StoreStep.READ_HEAD)
        )
        return documents.head_audit_page(head)

    async def _decide(
        self,
        decision: store_actions.StoreProcedure[apply_module.ApplyResult],
        request: apply_module.ApplyRequest,
    ) -> apply_module.ApplyResult:
        try:
            result: apply_module.ApplyResult = await self._runner.run(decision)
        except errors.ApplyOutcomeUnknown:
            defer.ensureDeferred(self._resolve_later(request))
            raise
        if result.head.changes:
            self._dissemination.publish(
                configuration_intake.to_record(result.head)
            )
        log.info(
            'Change applied.',
            author=request.author,
            change_id=request.change_id,
            revision=result.revision,
            outcome=result.outcome.value,
        )
        return result

    async def _resolve_later(self, request: apply_module.ApplyRequest) -> None:
        # The unconfirmed write can still take effect until the version of the
        # head changes. Fencing the write as soon as the store answers shortens
        # that time.
        while True:
            await task.deferLater(
                self._clock, RESOLVE_RETRY_SECONDS, lambda: None
            )
            try:
                await self._runner.run(
                    apply_module.resolve_outcome(request, None)
                )
            except errors.ApplyOutcomeUnknown:
                continue
            except errors.YuccarillError as error:
                log.info(
                    'Unknown change outcome resolved: not applied.',
                    change_id=request.change_id,
                    cause=error.message,
                )
                return
            log.info(
                'Unknown change outcome resolved: applied.',
                change_id=request.change_id,
            )
            return

    def _record_refusal(
        self,
        author: str,
        base: Revision,
        change_id: ChangeId,
        error: errors.YuccarillError,
    ) -> None:
        refusal = Refusal(
            change_id=change_id,
            author=author,
            refused_at=WallTime(time.time()),
            base=base,
            code=error.code,
            message=error.message,
        )
        self.refusals.append(refusal)
        log.info('Change refused.', **msgspec.structs.asdict(refusal))
