"""Admit requests by the client account of their key."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import task

from yuccarill.core.accounts import credentials
from yuccarill.core.accounts import decision
from yuccarill.core.accounts.decision import KeyState
from yuccarill.core.accounts.decision import KeyVerdict
from yuccarill.core.accounts.decision import LookupResult
from yuccarill.core import errors
from yuccarill.daemon.gateway import meters

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.accounts.directory import Account
    from yuccarill.core.accounts.directory import AccountDirectory
    from yuccarill.core.gateway.requests import ClientRequest
    from yuccarill.core.gateway.routes import Route
    from yuccarill.core.gateway.routes import RouteTable
    from yuccarill.core.ids import KeyDigest
    from yuccarill.daemon.gateway.accounts.lookup import ConfigurationLookup
    from yuccarill.daemon.gateway.state import GatewayState

# Retry-After, in seconds, until a key can be verified or a configuration read.
RETRY_AFTER = 0.3
# Seconds that a call to the job API waits for the first configuration, and
# between checks for it.
CONFIGURATION_SECONDS = 1.0
POLL_SECONDS = 0.05


class AccountAdmission:
    """Determine the account of each request, or refuse the request."""

    def __init__(
        self,
        state: GatewayState,
        lookup: ConfigurationLookup,
        age: Callable[[], float],
        clock: Any,
    ) -> None:
        self._state = state
        self._lookup = lookup
        # Seconds since the configuration was last confirmed current.
        self._configuration_age = age
        self._clock = clock

    async def admit(
        self, route: Route, request: ClientRequest
    ) -> ClientRequest:
        """Return a request with its account set.

        Raises KeyMissing, KeyUnknown, or NotRun if the key cannot be verified.
        """
        return await self._admit(request, route.is_open)

    async def admit_job_call(self, request: ClientRequest) -> ClientRequest:
        """Return a call to the job API with its account set.

        Raises as `admit`, or NoConfiguration if no configuration arrives in
        time: without an account, the answer would be that no such job exists.
        """
        table = await self._table()
        return await self._admit(request, table.is_open_to_jobs(request.host))

    async def _table(self) -> RouteTable:
        """Return the route table, waiting for the first configuration."""
        deadline = self._clock.seconds() + CONFIGURATION_SECONDS
        while (table := self._state.route_table) is None:
            if self._clock.seconds() >= deadline:
                raise errors.NoConfiguration(
                    'No configuration is known here yet.', RETRY_AFTER
                )
            await task.deferLater(self._clock, POLL_SECONDS)
        return table

    async def _admit(
        self, request: ClientRequest, is_open: bool
    ) -> ClientRequest:
        directory = self._directory()
        if directory is None:
            # Without accounts, identity headers pass to the target unverified.
            return msgspec.structs.replace(
                request, headers=(*request.headers, *request.identity)
            )
        if is_open:
            return request
        key = credentials.read(request.credentials)
        if isinstance(key, credentials.CredentialFault):
            meters.KEYS.labels(key.name.lower()).inc()
            raise errors.KeyMissing(f'The request was refused: {key.value}.')
        account = await self._find_account(directory, key)
        return msgspec.structs.replace(
            request, account=account.name, account_priority=account.priority
        )

    async def _find_account(
        self, directory: AccountDirectory, key: KeyDigest
    ) -> Account:
        lookup = LookupResult.NOT_YET
        while True:
            account = directory.find(key)
            verdict = decision.decide(
                _key_state(directory, key, account),
                lookup,
                self._configuration_age(),
                self._state.settings.revocation,
            )
            if verdict is not KeyVerdict.LOOK_UP:
                meters.KEYS.labels(verdict.name.lower()).inc()
            match verdict:
                case KeyVerdict.LOOK_UP:
                    lookup = await self._lookup.look_up()
                    directory = self._directory() or directory
                case KeyVerdict.ADMIT if account is not None:
                    return account
                case KeyVerdict.DEFER:
                    raise errors.NotRun(
                        'The request was not run: its key cannot be '
                        'verified now. Try again.',
                        RETRY_AFTER,
                    )
                case _:
                    raise errors.KeyUnknown('No client account has this key.')

    def _directory(self) -> AccountDirectory | None:
        table = self._state.route_table
        return None if table is None else table.accounts


def _key_state(
    directory: AccountDirectory, key: KeyDigest, account: Account | None
) -> KeyState:
    if account is not None:
        return KeyState.HELD
    if directory.was_removed(key):
        return KeyState.REMOVED
    return KeyState.UNKNOWN
