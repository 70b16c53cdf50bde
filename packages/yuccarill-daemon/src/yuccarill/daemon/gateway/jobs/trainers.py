"""Answer trainers' calls, preferably on the instance that runs the job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core import errors
from yuccarill.core.gateway.requests import TargetAnswer
from yuccarill.daemon.gateway.jobs import intake as intake_module
from yuccarill.daemon.gateway.requests import relay as relay_module
from yuccarill.platform import ports

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.ids import AccountName
    from yuccarill.daemon.gateway.jobs.intake import Intake
    from yuccarill.daemon.gateway.jobs.runner import Runner
    from yuccarill.daemon.gateway.requests.relay import Relay
    from yuccarill.platform.ports import TrainerCall

_JSON = (('Content-Type', 'application/json'),)


class TrainerCallHandler:
    """Answer a call from the job's holder, a local runner or the store."""

    def __init__(
        self,
        intake: Intake,
        relay: Relay,
        runners: Callable[[], Iterable[Runner]],
    ) -> None:
        self._intake = intake
        self._relay = relay
        self._runners = runners

    async def serve(
        self, call: TrainerCall, request: ClientRequest
    ) -> TargetAnswer:
        """Answer one call.

        Raises YuccarillError if the call is refused or fails.
        """
        if not relay_module.is_relayed(request):
            answer = await self._ask_holder(call, request)
            if answer is not None:
                return answer
        match call:
            case ports.ResultsQuery():
                return await self._read_results(call, request.account)
            case ports.ItemQuery():
                return await self._read_item(call, request.account)
            case ports.JobEnd():
                return await self._end_job(call, request)

    async def _ask_holder(
        self, call: TrainerCall, request: ClientRequest
    ) -> TargetAnswer | None:
        """Return the answer of the instance that runs the job, or None."""
        holder = self._relay.holder_of_job(request.host, call.job)
        if holder is None:
            return None
        seconds = intake_module.RELAY_SECONDS
        if isinstance(call, ports.ResultsQuery):
            seconds = call.wait
        answer = await self._relay.send(holder, request, seconds)
        if answer is None or answer.status != 200:
            return None
        return answer

    async def _read_results(
        self, query: ports.ResultsQuery, account: AccountName | None
    ) -> TargetAnswer:
        # Iterates over a copy: runners can change while a reader waits.
        for runner in list(self._runners()):
            body = await runner.job_cache.read_results(query, account)
            if body is not None:
                return _answer(_JSON, body)
        return _answer(_JSON, await self._intake.read_results(query, account))

    async def _read_item(
        self, query: ports.ItemQuery, account: AccountName | None
    ) -> TargetAnswer:
        for runner in list(self._runners()):
            body = runner.job_cache.read_item(query.job, query.item, account)
            if body is not None:
                return _answer((), body)
        return _answer(
            (), await self._intake.read_item(query.job, query.item, account)
        )

    async def _end_job(
        self, call: ports.JobEnd, request: ClientRequest
    ) -> TargetAnswer:
        service = None
        for runner in list(self._runners()):
            if runner.job_cache.is_of(call.job, request.account):
                service = runner.service
        try:
            await self._intake.end_job(call.job, service, request.account)
        except (errors.StoreUnavailable, errors.OutcomeUnknown) as error:
            peer = self._relay.peer()
            if peer is None or relay_module.is_relayed(request):
                raise
            answer = await self._relay.send(
                peer, request, intake_module.RELAY_SECONDS
            )
            if answer is not None and answer.status == 200:
                return _answer(_JSON, b'{}')
            if relay_module.may_have_run(answer):
                raise errors.OutcomeUnknown(
                    f'The job may have been ended: {error.message}'
                ) from error
            raise
        return _answer(_JSON, b'{}')


def _answer(headers: tuple[tuple[str, str], ...], body: bytes) -> TargetAnswer:
    return TargetAnswer(status=200, headers=headers, body=body, signature=None)
