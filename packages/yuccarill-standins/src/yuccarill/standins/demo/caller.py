"""Caller that sends requests, retries where safe, and records them."""

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

GIVE_UP_SECONDS = 20.0
RETRY_SECONDS = 0.1
MAX_REPEATS = 6
STREAM_TOKENS = 64
# Result codes for which it is unknown whether the request ran.
UNKNOWN_CODES = (1101, 1102, 1301, 1302)


class Caller:
    """Send requests to the addresses that instances return."""

    def __init__(
        self, name: str, addresses: list[str], asks: CallerRecords, seed: int
    ) -> None:
        self._name = name
        self._random = random.Random(seed)
        self._book = address_book.AddressBook(addresses, self._random)
        self._records = asks
        self._numbers = itertools.count(1)

    async def ask_repeatable(self, url_path: str) -> Ask:
        """Call a plain service until it replies or refuses."""
        ask = self._start_ask(records.Kind.REPEATABLE)
        body = {'of': ask.request_id}
        await self._retry_until_settled(
            ask,
            lambda address: self._attempt(ask, address, url_path, body),
            lambda reply: answers.is_valid_answer(ask, body, reply),
        )
        return ask

    async def ask_stream(self, url_path: str) -> Ask:
        """Request a stream from a model until an answer is complete."""
        ask = self._start_ask(records.Kind.STREAM)
        body = {'prompt': ask.request_id, 'max_tokens': STREAM_TOKENS}
        await self._retry_until_settled(
            ask,
            lambda address: self._attempt(ask, address, url_path, body),
            lambda reply: answers.is_valid_stream(ask, STREAM_TOKENS, reply),
        )
        return ask

    async def ask_once(self, url_path: str) -> Ask:
        """Send a non-repeatable call through two instances at a time.

        Repeats carry the same request id and ticket until a reply arrives.
        """
        ticket = await self._book.ticket()
        ask = self._start_ask(records.Kind.ONCE)
        body = {'of': ask.request_id}
        for _ in range(MAX_REPEATS):
            addresses = await self._book.addresses()
            attempts = [
                defer.ensureDeferred(
                    self._attempt(ask, address, url_path, body, ticket)
                )
                for address in (addresses * 2)[:2]
            ]
            replies = await defer.gatherResults(attempts)
            if self._settle(ask, body, replies):
                break
            await server.sleep(RETRY_SECONDS)
        return ask

    def _settle(
        self, ask: Ask, body: Any, replies: list[client.Reply | None]
    ) -> bool:
        bodies = {r.body for r in replies if r is not None and r.status == 200}
        if bodies:
            are_own = all(
                answers.is_valid_answer(ask, body, client.Reply(200, one))
                for one in bodies
            )
            is_right = are_own and len(bodies) == 1
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

    async def _retry_until_settled(
        self, ask: Ask, attempt: Any, is_right: Any
    ) -> None:
        deadline = time.time() + GIVE_UP_SECONDS
        while time.time() < deadline:
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

    def _start_ask(self, kind: records.Kind) -> Ask:
        number = next(self._numbers)
        ask = records.Ask(
            request_id=f'{self._name}-{number}',
            kind=kind,
            caller=self._name,
            begun_at=time.time(),
        )
        self._records.asks.append(ask)
        return ask

    async def _attempt(
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
        except client.ConnectionCut:
            attempt.is_cut = True
            return None
        finally:
            attempt.ended_at = time.time()
        _record_reply(attempt, reply)
        return reply


def _record_reply(attempt: Attempt, reply: client.Reply) -> None:
    attempt.status = reply.status
    last_line = reply.body.strip().rpartition(b'\n')[2]
    try:
        payload = json.loads(last_line)
    except ValueError:
        return
    if not isinstance(payload, dict):
        return
    # The last line of a stream that was cut holds an error code.
    attempt.code = payload.get('code') or payload.get('error') or 0
    attempt.is_not_run = bool(payload.get('not_run', False))
    attempt.is_cut = reply.status == 200 and attempt.code in UNKNOWN_CODES
