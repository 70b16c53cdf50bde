"""Test which requests are admitted, refused or told to retry."""

from __future__ import annotations

import msgspec
from nose2.tools import params
from twisted.internet import defer

from yuccarill.core.accounts import credentials
from yuccarill.core.accounts import directory
from yuccarill.core import errors
from yuccarill.core.gateway.requests import ClientRequest
from yuccarill.core.gateway import routes
from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.gateway.accounts import admission
from yuccarill.daemon.gateway.accounts import lookup
from yuccarill.daemon.gateway.requests import relay
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

from . import world

KEY = 'Bearer k1'
OTHER_KEY = 'Bearer k2'
PRIORITY = 2


def table(version: int, **keys_by_name: str) -> routes.RouteTable:
    accounts = directory.AccountDirectory(
        directory.Account(
            name=AccountName(name),
            keys=frozenset(credentials.digest(key) for key in found.split()),
            priority=PRIORITY,
        )
        for name, found in keys_by_name.items()
    )
    return routes.RouteTable(
        version, [world.batch_route()], [], routes.ClientLimits(), accounts
    )


class CountingStore:
    """Count reads of the configuration and answer them on demand."""

    def __init__(self) -> None:
        self.reads = 0
        self.answers: list[defer.Deferred] = []

    async def get(self, key: str) -> store_module.Entry | None:
        assert key == keys.CONFIGURATION
        self.reads += 1
        waiting: defer.Deferred = defer.Deferred()
        self.answers.append(waiting)
        return await waiting


class AdmissionTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.known = self.state('a')
        self.known.route_table = table(1, a='k1')
        self.config_store = CountingStore()
        self.admission = admission.AccountAdmission(
            self.known,
            lookup.ConfigurationLookup(
                self.known, self.config_store, self.learn, self.clock
            ),
            lambda: 0.5,
            self.clock,
        )

    def learn(self, entry: routes.RouteTable) -> None:
        self.known.route_table = entry

    def admit(
        self, *values: str, is_open: bool = False
    ) -> defer.Deferred[ClientRequest]:
        request = ClientRequest(
            id=RequestId('r'),
            method='POST',
            host='t.example',
            path='/train/1',
            target='/train/1',
            headers=(('Accept', '*/*'),),
            body=b'',
            arrived_at=Instant(0.0),
            identity=tuple(('authorization', value) for value in values),
            credentials=values,
        )
        route = msgspec.structs.replace(world.batch_route(), is_open=is_open)
        return defer.Deferred.fromCoroutine(
            self.admission.admit(route, request)
        )

    def test_request_gets_its_account_and_loses_its_key(self) -> None:
        found = self.admit(KEY).result
        self.assertEqual('a', found.account)
        self.assertEqual((('Accept', '*/*'),), found.headers)

    def test_request_gets_the_priority_of_its_account(self) -> None:
        self.assertEqual(PRIORITY, self.admit(KEY).result.account_priority)

    def test_open_route_needs_no_key(self) -> None:
        # The client's credentials don't reach the target either.
        for values in ((), (OTHER_KEY,), (KEY, KEY)):
            found = self.admit(*values, is_open=True).result
            self.assertIsNone(found.account)
            self.assertEqual((('Accept', '*/*'),), found.headers)

    def test_without_accounts_no_key_is_checked_or_removed(self) -> None:
        self.known.route_table = routes.RouteTable(
            1, [world.batch_route()], [], routes.ClientLimits()
        )
        found = self.admit(KEY).result
        self.assertIsNone(found.account)
        self.assertIn(('authorization', KEY), found.headers)

    @params(((),), (('x',),), ((KEY, KEY),), (('Bearer ' + 'x' * 600,),))
    def test_request_without_exactly_one_valid_key_is_refused(
        self, values: tuple[str, ...]
    ) -> None:
        self.refused_with(self.admit(*values), errors.KeyMissing)
        self.assertEqual(0, self.config_store.reads)

    def test_recently_added_key_is_admitted(self) -> None:
        """Guard against a final refusal of a key that was just added."""
        waiting = self.admit(OTHER_KEY)
        self.config_store.answers[0].callback(table(2, a='k1', b='k2'))
        self.assertEqual('b', waiting.result.account)

    def test_unknown_key_is_refused(self) -> None:
        waiting = self.admit(OTHER_KEY)
        self.config_store.answers[0].callback(None)
        self.refused_with(waiting, errors.KeyUnknown)

    def test_removed_key_is_refused_without_a_read(self) -> None:
        following = table(2, a='k3')
        following.accounts.record_removed_keys(self.known.route_table.accounts)
        self.known.route_table = following
        self.refused_with(self.admit(KEY), errors.KeyUnknown)
        self.assertEqual(0, self.config_store.reads)

    def test_unreachable_store_asks_the_client_to_retry(
        self,
    ) -> None:
        waiting = self.admit(OTHER_KEY)
        self.config_store.answers[0].errback(store_module.StoreRefused('away'))
        error = self.refused_with(waiting, errors.NotRun).value
        self.assertEqual(admission.RETRY_AFTER, error.retry_after)

    def test_many_unknown_keys_cost_few_reads(self) -> None:
        """Guard against unknown keys that flood the store with reads.

        1,000 keys a second for 5 s; the requests that wait share one read.
        """
        waiting = []
        for number in range(5_000):
            waiting.append(self.admit(f'Bearer u{number}'))
            self.clock.advance(0.001)
            for answer in self.config_store.answers:
                if not answer.called:
                    answer.callback(None)
        self.run_for(1.0)
        for answer in self.config_store.answers:
            if not answer.called:
                answer.callback(None)
        self.assertLessEqual(self.config_store.reads, 22)
        for each in waiting:
            self.refused_with(each, errors.KeyUnknown, errors.NotRun)

    def job_call(self) -> defer.Deferred[ClientRequest]:
        request = ClientRequest(
            id=RequestId('j'),
            method='GET',
            host='t.example',
            path='/x',
            target='/x',
            headers=(),
            body=b'',
            arrived_at=Instant(0.0),
            credentials=(KEY,),
        )
        return defer.Deferred.fromCoroutine(
            self.admission.admit_job_call(request)
        )

    def test_reader_waits_for_the_configuration_after_a_start(self) -> None:
        """Guard against a job that a starting instance does not find.

        Without a configuration, the reader must not count as anonymous.
        """
        found, self.known.route_table = self.known.route_table, None
        waiting = self.job_call()
        self.run_for(0.3)
        self.known.route_table = found
        self.run_for(0.1)
        self.assertEqual('a', waiting.result.account)

    def test_no_admission_without_a_configuration(self) -> None:
        self.known.route_table = None
        waiting = self.job_call()
        self.run_for(admission.CONFIGURATION_SECONDS + 0.1)
        self.refused_with(waiting, errors.NoConfiguration)

    def test_relayed_call_is_authenticated_again(self) -> None:
        """Guard against forged relay headers that bypass authentication."""
        sent: list[http_exchange.OutgoingRequest] = []

        class Links:
            async def exchange(self, address, request, deadline):
                sent.append(request)
                raise http_exchange.NotConnected('away')

        found = self.admit(KEY).result
        world.list_instance(self.known, 'b')
        call_relay = relay.Relay(self.known, Links(), self.clock)
        self.finish(call_relay.send(call_relay.peer(), found, 1.0))
        self.assertIn(('authorization', KEY), sent[0].headers)
        relayed = msgspec.structs.replace(
            found, headers=((relay.HEADER, '1'),), credentials=()
        )
        work = defer.Deferred.fromCoroutine(
            self.admission.admit(world.batch_route(), relayed)
        )
        self.refused_with(work, errors.KeyMissing)

    def refused_with(self, work: defer.Deferred, *kinds: type) -> object:
        found: list = []
        work.addErrback(found.append)
        self.assertTrue(found, 'the request was not refused')
        self.assertTrue(found[0].check(*kinds), found[0])
        return found[0]
