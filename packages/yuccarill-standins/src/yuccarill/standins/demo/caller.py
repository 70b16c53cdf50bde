"""One caller: ask, try again where that is safe, and record it all."""

from __future__ import annotations

import itertools
import json
import random
import time
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.standins import client
from yuccarill.standins.demo import address_book
from yuccarill.standins.demo import answers
from yuccarill.standins.demo import records
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.records import Ask
    from yuccarill.standins.demo.records import Attempt
    from yuccarill.standins.demo.records import CallerRecords

# Seconds after which a caller takes a request for lost.
PATIENCE = 20.0
RETRY_SECONDS = 0.1
MAX_REPEATS = 6
STREAM_TOKENS = 64
# Result codes that promise nothing about whether the request ran.
UNKNOWN_CODES = (1101, 1102, 1301, 1302)


class Caller:
    """Ask through addresses that the system gave."""

    def __init__(
        self, name: str, seeds: list[str], kept: CallerRecords, seed: int
    ) -> None:
        self._name = name
        self._source = random.Random(seed)
        self._book = address_book.AddressBook(seeds, self._source)
        self._records = kept
        self._numbers = itertools.count(1)

    async def ask_repeatable(self, url_path: str) -> Ask:
        """Call a plain service until it answers or refuses."""
        ask = self._begin(records.Kind.REPEATABLE)
        body = {'of': ask.request_id}
        await self._until_settled(
            ask,
            lambda address: self._try(ask, address, url_path, body),
            lambda reply: answers.is_own_call(ask, body, reply),
        )
        return ask

    async def ask_stream(self, url_path: str) -> Ask:
        """Let a model answer until the answer is whole."""
        ask = self._begin(records.Kind.STREAM)
        body = {'prompt': ask.request_id, 'max_tokens': STREAM_TOKENS}
        await self._until_settled(
            ask,
            lambda address: self._try(ask, address, url_path, body),
            lambda reply: answers.is_own_stream(ask, STREAM_TOKENS, reply),
        )
        return ask

    async def ask_once(self, url_path: str) -> Ask:
        """Call what must run at most once, each time through two instances.

        Repeats carry the same number and ticket, until an answer comes.
        """
        ticket = await self._book.ticket()
        ask = self._begin(records.Kind.ONCE)
        body = {'of': ask.request_id}
        for _ in range(MAX_REPEATS):
            addresses = await self._book.addresses()
            doubled = [
                defer.ensureDeferred(
                    self._try(ask, address, url_path, body, ticket)
                )
                for address in (addresses * 2)[:2]
            ]
            replies = await defer.gatherResults(doubled)
            if self._settle_once(ask, body, replies):
                break
            await server.sleep(RETRY_SECONDS)
        return ask

    def _settle_once(
        self, ask: Ask, body: Any, replies: list[client.Reply | None]
    ) -> bool:
        bodies = {r.body for r in replies if r is not None and r.status == 200}
        if bodies:
            own = all(
                answers.is_own_call(ask, body, client.Reply(200, one))
                for one in bodies
            )
            is_right = own and len(bodies) == 1
            ask.outcome = (
                records.Outcome.ANSWERED if is_right else records.Outcome.WRONG
            )
            return True
        last = ask.attempts[-len(replies) :]
        if all(attempt.is_not_run for attempt in ask.attempts):
            ask.outcome = records.Outcome.NOT_RUN
        elif any(attempt.code in UNKNOWN_CODES for attempt in last):
            ask.outcome = records.Outcome.UNKNOWN
        return False

    async def _until_settled(
        self, ask: Ask, attempt: Any, is_right: Any
    ) -> None:
        given_up_at = time.time() + PATIENCE
        while time.time() < given_up_at:
            address = (await self._book.addresses())[0]
            reply = await attempt(address)
            last = ask.attempts[-1]
            if reply is not None and reply.status == 200 and not last.is_cut:
                ask.outcome = (
                    records.Outcome.ANSWERED
                    if is_right(reply)
                    else records.Outcome.WRONG
                )
                return
            if last.is_not_run:
                ask.outcome = records.Outcome.NOT_RUN
                return
            if last.status and 400 <= last.status < 500:
                ask.outcome = records.Outcome.REFUSED
                ask.detail = reply.body.decode()[:200]
                return
            await server.sleep(RETRY_SECONDS)

    def _begin(self, kind: records.Kind) -> Ask:
        number = next(self._numbers)
        ask = records.Ask(
            request_id=f'{self._name}-{number}',
            kind=kind,
            caller=self._name,
            begun_at=time.time(),
        )
        self._records.asks.append(ask)
        return ask

    async def _try(
        self,
        ask: Ask,
        address: str,
        url_path: str,
        body: Any,
        ticket: str | None = None,
    ) -> client.Reply | None:
        attempt = records.Attempt(address, time.time())
        ask.attempts.append(attempt)
        headers = {
            'Content-Type': 'application/json',
            'Yuccarill-Caller': self._name.rpartition('-')[0],
            'Yuccarill-Request-Id': ask.request_id,
        }
        if ticket is not None:
            headers['Yuccarill-Ticket'] = ticket
        url = f'http://{address}/v1/{url_path}'
        try:
            reply = await client.send('POST', url, body, headers)
        except client.Unreachable:
            attempt.is_unreachable = True
            return None
        except client.Cut:
            attempt.is_cut = True
            return None
        finally:
            attempt.ended_at = time.time()
        _note(attempt, reply)
        return reply


def _note(attempt: Attempt, reply: client.Reply) -> None:
    attempt.status = reply.status
    last_line = reply.body.strip().rpartition(b'\n')[2]
    try:
        told = json.loads(last_line)
    except ValueError:
        return
    if not isinstance(told, dict):
        return
    # A streamed answer that was cut says so in its last line.
    attempt.code = told.get('code') or told.get('error') or 0
    attempt.is_not_run = bool(told.get('not_run', False))
    attempt.is_cut = reply.status == 200 and attempt.code in UNKNOWN_CODES
