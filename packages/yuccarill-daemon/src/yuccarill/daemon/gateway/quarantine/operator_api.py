"""List quarantined contents for operators and release them."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import errors
from yuccarill.core.gateway.crash_ledger import QuarantinedContent
from yuccarill.core.ids import ContentDigest
from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway.quarantine import end_messages
from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.quarantine.exchange import CrashExchange
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.quarantine.records import QuarantineRecords

log = logs.for_part('quarantine')

PATH = '/quarantine/contents'


class QuarantineApi:
    """Handle requests of operators on the peer port, closed to clients."""

    def __init__(
        self,
        guard: ContentGuard,
        records: QuarantineRecords,
        reports: CrashExchange,
        clock: Any,
    ) -> None:
        self._guard = guard
        self._records = records
        self._reports = reports
        self._clock = clock

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """List the quarantined contents, or release one of them."""
        content = ContentDigest(request.path[len(PATH) + 1 :])
        match request.method:
            case 'GET' if not content:
                return self._list()
            case 'DELETE' if content:
                return await self._release(content)
            case _:
                return _error_page(errors.WrongMethod('Use GET or DELETE.'))

    def _list(self) -> SmallResponse:
        ledger = self._guard.ledger
        contents = [
            QuarantinedContent(
                content=content,
                request=self._guard.name_of(content),
                targets=ledger.targets(content),
                seconds_left=ledger.seconds_left(
                    content, self._clock.seconds()
                ),
            )
            for content in ledger.quarantined()
        ]
        return SmallResponse(status=200, body=msgspec.json.encode(contents))

    async def _release(self, content: ContentDigest) -> SmallResponse:
        if content not in self._guard.ledger.quarantined():
            return _error_page(
                errors.UnknownPath('This content is not quarantined.')
            )
        self._reports.send(end_messages.EndMessage(released=(content,)))
        try:
            await self._records.remove(content)
        except (
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
            store_module.StoreConflict,
        ) as error:
            # An instance that reads the record later quarantines the content.
            log.warning(
                'Quarantine record not removed.',
                content=content,
                cause=str(error),
            )
            return _error_page(
                errors.StoreUnavailable(
                    'The content was released, but its record was not '
                    'removed. Release it again once the store is available.',
                    1.0,
                )
            )
        return self._list()


def _error_page(error: errors.YuccarillError) -> SmallResponse:
    body = {
        'code': error.code,
        'name': error.code.name,
        'message': error.message,
        'not_run': error.not_run,
        'retry_after': error.retry_after,
    }
    return SmallResponse(
        status=error.http_status, body=msgspec.json.encode(body)
    )
