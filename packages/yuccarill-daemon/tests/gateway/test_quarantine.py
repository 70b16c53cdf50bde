"""Test how instances quarantine requests that crash targets."""

from __future__ import annotations

from unittest import mock

import msgspec
from nose2.tools import params
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.gateway import crash_ledger
from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WallTime
from yuccarill.daemon.adapters.small_server import SmallRequest
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.quarantine import exchange
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import operator_api
from yuccarill.daemon.gateway.quarantine import records
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon.gateway.store import observer
from yuccarill.platform import keys

from . import world

X = ContentDigest('x')
SERVICE = world.SERVICE


def report(number: int, *contents: str) -> CrashReport:
    return CrashReport(
        target=TargetId(f't{number}'),
        contents=tuple(ContentDigest(c) for c in contents or 'x'),
    )


class GuardTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.guard = guard.ContentGuard(self.state('a'), self.clock)

    def list_targets(self, count: int) -> None:
        for number in range(count):
            self.guard._state.targets.put(world.engine(f't{number}'))

    def test_a_content_that_crashed_three_targets_is_refused(self) -> None:
        for number in range(3):
            self.guard.record_crash(report(number))
        with self.assertRaises(errors.RequestQuarantined) as caught:
            self.guard.admit(X, SERVICE)
        self.assertEqual(503, caught.exception.http_status)
        self.assertTrue(caught.exception.not_run)
        self.assertAlmostEqual(
            crash_ledger.QUARANTINE_SECONDS, caught.exception.retry_after
        )
        self.guard.admit(ContentDigest('other'), SERVICE)

    # Listed targets, of which the first two have crashed, seconds since the
    # crashes, and whether their cause may be sent to another target.
    @params(
        (3, 0.1, False),
        (4, 0.1, True),
        (3, 4.9, False),
        (3, 5.1, True),
        (1, 5.1, True),
    )
    def test_a_suspect_is_kept_from_the_last_target(
        self, targets: int, seconds: float, is_tried: bool
    ) -> None:
        self.guard._state.targets.remove(TargetId('e1'))
        self.list_targets(targets)
        for number in range(2):
            self.guard.record_crash(report(number))
        self.run_for(seconds)
        self.assertEqual(is_tried, self.guard.is_admitted(X, SERVICE))

    def test_a_suspect_is_tried_once_at_a_time(self) -> None:
        self.list_targets(6)
        callback = mock.Mock()
        self.guard.on_trial = callback
        for number in range(2):
            self.guard.record_crash(report(number))
        self.assertTrue(self.guard.begin_run(TargetId('t3'), X))
        callback.assert_called_once_with(X)
        self.assertFalse(self.guard.is_admitted(X, SERVICE))
        self.guard.finish_run(TargetId('t3'), X)
        self.assertTrue(self.guard.is_admitted(X, SERVICE))
        self.guard.record_peer_trial(X)
        self.assertFalse(self.guard.is_admitted(X, SERVICE))
        self.run_for(guard.PEER_TRIAL_SECONDS)
        self.assertTrue(self.guard.is_admitted(X, SERVICE))

    def test_contents_of_one_crash_go_to_separate_targets(self) -> None:
        """Guard against blaming a request that runs beside the cause twice."""
        self.guard.record_crash(report(0, 'x', 'a'))
        self.guard.begin_run(TargetId('t1'), X)
        other = ContentDigest('a')
        self.assertEqual({'t1'}, self.guard.targets_to_avoid(other))
        self.assertEqual(frozenset(), self.guard.targets_to_avoid(X))
        self.guard.finish_run(TargetId('t1'), X)
        self.assertEqual(frozenset(), self.guard.targets_to_avoid(other))

    def test_suspects_do_not_share_a_target(self) -> None:
        for number in range(2):
            self.guard.record_crash(report(number, 'x', 'a'))
        self.guard.begin_run(TargetId('t1'), X)
        other = ContentDigest('a')
        self.assertEqual({'t1'}, self.guard.forbidden_targets(other))
        self.assertEqual(frozenset(), self.guard.forbidden_targets(X))
        clear = ContentDigest('c')
        self.assertEqual(frozenset(), self.guard.forbidden_targets(clear))
        self.assertEqual(
            {'t1': 1}, self.guard.suspicious_counts_by_target(clear)
        )

    def test_a_completed_run_identifies_the_cause(self) -> None:
        """Guard against a quarantine that waits for another crash.

        Three targets crash under two contents, one of which then completes.
        """
        callback = mock.Mock()
        self.guard.on_quarantined = callback
        for number in range(3):
            self.guard.record_crash(report(number, 'x', 'a'))
        callback.assert_not_called()
        self.guard.record_completion(ContentDigest('a'))
        callback.assert_called_once_with(X)

    # Failed runs whose targets can still crash, earlier crashes, and whether
    # the content is held back.
    @params((1, 0, False), (2, 0, True), (1, 1, True))
    def test_a_content_waits_for_runs_that_were_given_up(
        self, runs: int, ends: int, waits: bool
    ) -> None:
        """Guard against retries at all targets while the first one crashes."""
        for number in range(ends):
            self.guard.record_crash(report(number))
        for number in range(runs):
            target = TargetId(f'u{number}')
            now = self.guard.now()
            self.guard.record_abandoned_run(
                target, X, RequestId('r'), True, now
            )
        self.assertEqual(waits, self.guard.has_unresolved_failures(X))

    def test_a_completed_content_is_not_reported(self) -> None:
        callback = mock.Mock()
        self.guard.on_crash = callback
        self.guard.record_completion(X)
        self.guard.record_crash(report(0, 'x', 'a'))
        (sent,), _ = callback.call_args
        self.assertEqual(('a',), sent.contents)


class Peers:
    """Carry messages between instances, except unavailable ones."""

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        # Instances that let each call time out.
        self.silent: set[str] = set()
        self.parts_by_name: dict[str, exchange.CrashExchange] = {}
        self.away: set[str] = set()

    async def call(
        self,
        peer: state_module.InstanceRecord,
        method: str,
        target: str,
        seconds: float,
        body: bytes = b'',
    ) -> bytes:
        if peer.instance in self.silent:
            await task.deferLater(self.clock, seconds)
            raise peer_call.PeerFailed('no answer')
        if peer.instance in self.away:
            raise peer_call.PeerFailed('away')
        request = SmallRequest(method=method, target=target, body=body)
        page = await self.parts_by_name[peer.instance].handle(request)
        return page.body


class FleetTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.peers = Peers(self.clock)
        self.guards_by_name: dict[str, guard.ContentGuard] = {}
        for name in 'abc':
            self.add(name)

    def add(self, name: str) -> guard.ContentGuard:
        state = self.state(name)
        for other in self.guards_by_name.values():
            world.list_instance(other._state, name)
        for known in (*self.guards_by_name, name):
            world.list_instance(state, known)
        found = guard.ContentGuard(state, self.clock)
        self.guards_by_name[name] = found
        crash_exchange = exchange.CrashExchange(
            state, found, self.peers, self.clock
        )
        found.on_quarantined = crash_exchange.send_quarantine
        self.peers.parts_by_name[name] = crash_exchange
        crash_exchange.start()
        return found

    def verdicts(self) -> set[Verdict]:
        found = self.guards_by_name.values()
        return {each.ledger.verdict(X) for each in found}

    def test_crashes_seen_by_several_instances_count_together(self) -> None:
        for number, name in enumerate('abc'):
            self.guards_by_name[name].record_crash(report(number))
        self.assertEqual({Verdict.QUARANTINED}, self.verdicts())

    def test_an_unavailable_peer_gets_reports_later(self) -> None:
        # Wait until each instance has fetched the earlier reports.
        self.run_for(0.5)
        self.peers.away = {'c'}
        for number in range(3):
            self.guards_by_name['a'].record_crash(report(number))
        self.run_for(2.0)
        self.peers.away = set()
        self.run_for(1.0)
        self.assertEqual({Verdict.QUARANTINED}, self.verdicts())

    def test_unavailable_peers_delay_no_others(self) -> None:
        """Guard against retries to 100 silent peers that block all others."""
        self.run_for(0.5)
        for number in range(100):
            name = f'a{number}'
            world.list_instance(self.guards_by_name['a']._state, name)
            self.peers.silent.add(name)
        for name in 'bc':
            # Messages go to the responsive peers last.
            known = self.guards_by_name['a']._state.instances_by_id
            known[name] = known.pop(name)
        for number in range(3):
            self.guards_by_name['a'].record_crash(report(number))
        self.run_for(3.0)
        self.assertEqual({Verdict.QUARANTINED}, self.verdicts())

    def test_a_clearance_in_a_reply_is_sent_once(self) -> None:
        """Guard against a second sender that drops queued messages.

        The reply queues a message in the outbox that is being sent.
        """
        self.guards_by_name['b'].record_completion(X)
        self.guards_by_name['a'].record_crash(report(0, 'x', 'y'))
        self.run_for(1.0)
        self.assertEqual({Verdict.CLEAR}, self.verdicts())
        other = ContentDigest('y')
        for each in self.guards_by_name.values():
            self.assertEqual(Verdict.WATCHED, each.ledger.verdict(other))
        crash_exchange = self.peers.parts_by_name['a']
        self.assertEqual({}, crash_exchange._outboxes_by_peer)

    def test_a_new_instance_fetches_reports_from_a_peer(self) -> None:
        for number in range(3):
            self.guards_by_name['a'].record_crash(report(number))
        added = self.add('d')
        self.assertEqual(Verdict.CLEAR, added.ledger.verdict(X))
        self.run_for(0.5)
        self.assertEqual(Verdict.QUARANTINED, added.ledger.verdict(X))

    def test_a_peer_clears_a_content_that_completed_there(self) -> None:
        """Guard against suspecting a request that completed at a peer."""
        self.guards_by_name['b'].record_completion(X)
        self.guards_by_name['a'].record_crash(report(0))
        self.assertEqual({Verdict.CLEAR}, self.verdicts())

    def test_an_invalid_message_is_rejected(self) -> None:
        request = SmallRequest(
            method='POST', target=exchange.PATH, body=b'\xc1'
        )
        page = self.finish(self.peers.parts_by_name['a'].handle(request))
        self.assertEqual(400, page.status)


class RecordTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.known = self.state('a')
        self.guard = guard.ContentGuard(self.known, self.clock)
        self.memory = self.store()
        self.records = records.QuarantineRecords(
            self.known, self.guard, self.memory, self.clock, lambda: 1000.0
        )
        self.guard.on_quarantined = self.records.write

    def record(self, until: float) -> state_module.QuarantineRecord:
        return state_module.QuarantineRecord(
            request='h/p',
            targets=(TargetId('t0'),),
            instance='b',
            until=WallTime(until),
        )

    def end_targets(self) -> None:
        for number in range(3):
            self.guard.record_crash(report(number))

    def test_a_quarantine_is_recorded_once(self) -> None:
        self.guard.set_name(X, 'h/p')
        self.end_targets()
        self.run_for(0.5)
        value = self.keys.entries_by_key[keys.quarantine(X)].value
        found = msgspec.msgpack.decode(
            value, type=state_module.QuarantineRecord
        )
        self.assertEqual('h/p', found.request)
        self.assertEqual(('t0', 't1', 't2'), found.targets)

    def test_a_record_is_written_once_the_store_is_back(self) -> None:
        self.memory.rejects_calls = True
        self.end_targets()
        self.run_for(2.0)
        self.assertNotIn(keys.quarantine(X), self.keys.entries_by_key)
        self.memory.rejects_calls = False
        self.run_for(2.0)
        self.assertIn(keys.quarantine(X), self.keys.entries_by_key)

    def test_a_missing_record_is_written(self) -> None:
        """Guard against losing a quarantine when all instances are killed.

        No instance that saw a crash knows of all three.
        """
        self.guard.on_peer_verdict = self.records.write_later
        self.guard.record_peer_crashes(report(number) for number in range(3))
        self.run_for(records.RECORD_WAIT_SECONDS + 0.5)
        self.assertIn(keys.quarantine(X), self.keys.entries_by_key)

    def test_a_record_of_a_peer_is_not_written_again(self) -> None:
        self.guard.on_peer_verdict = self.records.write_later
        self.guard.record_peer_crashes(report(number) for number in range(3))
        self.known.quarantined_by_content[X] = self.record(1060.0)
        self.run_for(records.RECORD_WAIT_SECONDS + 0.5)
        self.assertEqual([], self.memory.calls)

    # Expiry of a peer's record, and the verdict that follows.
    @params((1060.0, Verdict.QUARANTINED), (999.0, Verdict.CLEAR))
    def test_records_of_peers(self, until: float, expected: Verdict) -> None:
        self.known.quarantined_by_content[X] = self.record(until)
        self.records.update()
        self.assertEqual(expected, self.guard.ledger.verdict(X))

    def test_a_record_that_is_removed_releases(self) -> None:
        self.known.quarantined_by_content[X] = self.record(1060.0)
        self.records.update()
        del self.known.quarantined_by_content[X]
        self.records.update()
        self.assertEqual(Verdict.CLEAR, self.guard.ledger.verdict(X))

    def test_a_record_is_removed_after_a_completed_trial(self) -> None:
        """Guard against a record that quarantines a harmless content again."""
        self.end_targets()
        self.run_for(0.5)
        self.known.quarantined_by_content[X] = self.record(1060.0)
        self.guard.on_released = self.records.remove_later
        self.memory.rejects_calls = True
        self.guard.release_completed(X)
        self.assertEqual(Verdict.CLEAR, self.guard.ledger.verdict(X))
        self.run_for(3.0)
        self.assertIn(keys.quarantine(X), self.keys.entries_by_key)
        self.memory.rejects_calls = False
        self.run_for(2.0)
        self.assertNotIn(keys.quarantine(X), self.keys.entries_by_key)

    def test_a_released_content_is_not_recorded_later(self) -> None:
        """Guard against a delayed write that quarantines a content again."""
        self.memory.rejects_calls = True
        self.end_targets()
        self.run_for(2.0)
        self.guard.release_completed(X)
        self.memory.rejects_calls = False
        self.run_for(2.0)
        self.assertNotIn(keys.quarantine(X), self.keys.entries_by_key)

    def test_a_write_removes_expired_records(self) -> None:
        old = ContentDigest('old')
        self.keys.put(keys.quarantine(old), b'')
        self.known.quarantined_by_content[old] = self.record(900.0)
        self.end_targets()
        self.run_for(0.5)
        self.assertNotIn(keys.quarantine(old), self.keys.entries_by_key)

    def test_the_observer_reads_records(self) -> None:
        key = keys.quarantine(X)
        self.keys.put(key, msgspec.msgpack.encode(self.record(1060.0)))
        follow = observer.Observer(self.known, lambda: self.memory, self.clock)
        follow.add_listener(self.records.update)
        self.finish(
            follow.followers_by_prefix[keys.FLEET_PREFIX]._read_pages()
        )
        self.assertEqual(Verdict.QUARANTINED, self.guard.ledger.verdict(X))

    def test_an_operator_lists_and_releases(self) -> None:
        peers = mock.Mock()
        api = operator_api.QuarantineApi(
            self.guard, self.records, peers, self.clock
        )

        def call(method: str, path: str) -> tuple[int, list]:
            request = SmallRequest(method=method, target=path)
            page = self.finish(api.handle(request))
            return page.status, msgspec.json.decode(page.body)

        self.guard.set_name(X, 'h/p')
        self.end_targets()
        self.run_for(0.5)
        self.known.quarantined_by_content[X] = self.record(1060.0)
        status, contents = call('GET', operator_api.PATH)
        self.assertEqual((200, 'h/p'), (status, contents[0]['request']))
        self.assertEqual(['t0', 't1', 't2'], contents[0]['targets'])
        for method, path, code in (
            (
                'DELETE',
                f'{operator_api.PATH}/none',
                errors.ResultCode.UNKNOWN_PATH,
            ),
            ('POST', f'{operator_api.PATH}/x', errors.ResultCode.WRONG_METHOD),
        ):
            status, refused = call(method, path)
            self.assertEqual(code, refused['code'])
            self.assertIn(status, (404, 405))
        self.assertEqual((200, []), call('DELETE', f'{operator_api.PATH}/x'))
        peers.send.assert_called_once_with(exchange.EndMessage(released=(X,)))
        self.assertEqual(Verdict.CLEAR, self.guard.ledger.verdict(X))
        self.assertNotIn(keys.quarantine(X), self.keys.entries_by_key)
