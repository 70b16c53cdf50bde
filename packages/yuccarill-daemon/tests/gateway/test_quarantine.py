"""Test how instances agree on what is kept from targets."""

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
from yuccarill.daemon.gateway.quarantine import desk
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import records
from yuccarill.daemon.gateway.quarantine import reports
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
        self.guarding = guard.ContentGuard(self.state('a'), self.clock)

    def list_targets(self, count: int) -> None:
        for number in range(count):
            self.guarding._state.targets.put(world.engine(f't{number}'))

    def test_what_ended_three_targets_is_refused(self) -> None:
        for number in range(3):
            self.guarding.target_ended(report(number))
        with self.assertRaises(errors.RequestQuarantined) as caught:
            self.guarding.admit(X, SERVICE)
        self.assertEqual(503, caught.exception.http_status)
        self.assertTrue(caught.exception.not_run)
        self.assertAlmostEqual(
            crash_ledger.QUARANTINE_SECONDS, caught.exception.retry_after
        )
        self.guarding.admit(ContentDigest('other'), SERVICE)

    # Listed targets, of which the first two have ended, the seconds since,
    # and whether the request under which they did may be tried.
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
        self.guarding._state.targets.remove(TargetId('e1'))
        self.list_targets(targets)
        for number in range(2):
            self.guarding.target_ended(report(number))
        self.run_for(seconds)
        self.assertEqual(is_tried, self.guarding.is_admitted(X, SERVICE))

    def test_a_suspect_is_tried_once_at_a_time(self) -> None:
        self.list_targets(6)
        told = mock.Mock()
        self.guarding.on_trial = told
        for number in range(2):
            self.guarding.target_ended(report(number))
        self.assertTrue(self.guarding.begin(TargetId('t3'), X))
        told.assert_called_once_with(X)
        self.assertFalse(self.guarding.is_admitted(X, SERVICE))
        self.guarding.finish(TargetId('t3'), X)
        self.assertTrue(self.guarding.is_admitted(X, SERVICE))
        self.guarding.tried_elsewhere(X)
        self.assertFalse(self.guarding.is_admitted(X, SERVICE))
        self.run_for(guard.TRIAL_SECONDS)
        self.assertTrue(self.guarding.is_admitted(X, SERVICE))

    def test_what_was_beside_the_cause_goes_to_another_target(self) -> None:
        """A request that was beside the cause twice looked like the cause.

        1. A target ends under two requests.
        2. Both are sent on at once, and must not meet again.
        """
        self.guarding.target_ended(report(0, 'x', 'a'))
        self.guarding.begin(TargetId('t1'), X)
        other = ContentDigest('a')
        self.assertEqual({'t1'}, self.guarding.elsewhere(other))
        self.assertEqual(frozenset(), self.guarding.elsewhere(X))
        self.guarding.finish(TargetId('t1'), X)
        self.assertEqual(frozenset(), self.guarding.elsewhere(other))

    def test_suspects_do_not_share_a_target(self) -> None:
        for number in range(2):
            self.guarding.target_ended(report(number, 'x', 'a'))
        self.guarding.begin(TargetId('t1'), X)
        other = ContentDigest('a')
        self.assertEqual({'t1'}, self.guarding.barred(other))
        self.assertEqual(frozenset(), self.guarding.barred(X))
        clear = ContentDigest('c')
        self.assertEqual(frozenset(), self.guarding.barred(clear))
        self.assertEqual({'t1': 1}, self.guarding.others(clear))

    def test_a_finished_run_tells_the_cause(self) -> None:
        """Nobody was told of a quarantine until the next target ended.

        1. Three targets end under the same two contents.
        2. One of these is finished elsewhere, which leaves the other.
        """
        told = mock.Mock()
        self.guarding.on_quarantined = told
        for number in range(3):
            self.guarding.target_ended(report(number, 'x', 'a'))
        told.assert_not_called()
        self.guarding.completed(ContentDigest('a'))
        told.assert_called_once_with(X)

    # Failed runs whose targets may yet end, ends before, whether it waits.
    @params((1, 0, False), (2, 0, True), (1, 1, True))
    def test_runs_that_were_given_up_are_waited_for(
        self, runs: int, ends: int, waits: bool
    ) -> None:
        """A request went to all targets while the first one was crashing."""
        for number in range(ends):
            self.guarding.target_ended(report(number))
        for number in range(runs):
            target = TargetId(f'u{number}')
            now = self.guarding.now()
            self.guarding.gave_up(target, X, RequestId('r'), True, now)
        self.assertEqual(waits, self.guarding.is_unsettled(X))

    def test_what_a_target_finished_is_not_told(self) -> None:
        told = mock.Mock()
        self.guarding.on_end = told
        self.guarding.completed(X)
        self.guarding.target_ended(report(0, 'x', 'a'))
        (sent,), _ = told.call_args
        self.assertEqual(('a',), sent.contents)


class Peers:
    """Carry messages between instances, but for those that are away."""

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        # Those that let a call wait until its time is over.
        self.silent: set[str] = set()
        self.parts_by_name: dict[str, reports.EndReports] = {}
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
        telling = reports.EndReports(state, found, self.peers, self.clock)
        found.on_quarantined = telling.tell_quarantined
        self.peers.parts_by_name[name] = telling
        telling.start()
        return found

    def verdicts(self) -> set[Verdict]:
        found = self.guards_by_name.values()
        return {each.ledger.verdict(X) for each in found}

    def test_ends_at_several_instances_count_together(self) -> None:
        for number, name in enumerate('abc'):
            self.guards_by_name[name].target_ended(report(number))
        self.assertEqual({Verdict.QUARANTINED}, self.verdicts())

    def test_a_peer_that_is_away_is_told_later(self) -> None:
        # By then it has asked what was told before it started.
        self.run_for(0.5)
        self.peers.away = {'c'}
        for number in range(3):
            self.guards_by_name['a'].target_ended(report(number))
        self.run_for(2.0)
        self.peers.away = set()
        self.run_for(1.0)
        self.assertEqual({Verdict.QUARANTINED}, self.verdicts())

    def test_peers_that_are_down_hold_nobody_up(self) -> None:
        """A third of a large fleet was cut off, and the rest was not told.

        1. Targets end under a request while 100 instances do not answer.
        2. Each of these is tried again and again.
        3. The others know of it within a few seconds.
        """
        self.run_for(0.5)
        for number in range(100):
            name = f'a{number}'
            world.list_instance(self.guards_by_name['a']._state, name)
            self.peers.silent.add(name)
        for name in 'bc':
            # Told last of all.
            known = self.guards_by_name['a']._state.instances_by_id
            known[name] = known.pop(name)
        for number in range(3):
            self.guards_by_name['a'].target_ended(report(number))
        self.run_for(3.0)
        self.assertEqual({Verdict.QUARANTINED}, self.verdicts())

    def test_a_clearance_that_a_reply_brings_is_told_once(self) -> None:
        """A reply started a second sender, which dropped what was not sent.

        1. A peer's reply clears a content, which all have to be told.
        2. That message waits in the outbox whose sender reads the reply.
        """
        self.guards_by_name['b'].completed(X)
        self.guards_by_name['a'].target_ended(report(0, 'x', 'y'))
        self.run_for(1.0)
        self.assertEqual({Verdict.CLEAR}, self.verdicts())
        other = ContentDigest('y')
        for each in self.guards_by_name.values():
            self.assertEqual(Verdict.WATCHED, each.ledger.verdict(other))
        telling = self.peers.parts_by_name['a']
        self.assertEqual({}, telling._outboxes_by_peer)

    def test_one_that_starts_asks_a_peer(self) -> None:
        for number in range(3):
            self.guards_by_name['a'].target_ended(report(number))
        added = self.add('d')
        self.assertEqual(Verdict.CLEAR, added.ledger.verdict(X))
        self.run_for(0.5)
        self.assertEqual(Verdict.QUARANTINED, added.ledger.verdict(X))

    def test_a_peer_clears_what_a_target_finished_for_it(self) -> None:
        """A popular request was new to the instance that saw it broken off.

        1. One instance had it answered.
        2. A target ends under it at another one.
        3. The first one's reply clears it, everywhere.
        """
        self.guards_by_name['b'].completed(X)
        self.guards_by_name['a'].target_ended(report(0))
        self.assertEqual({Verdict.CLEAR}, self.verdicts())

    def test_a_message_that_can_not_be_read(self) -> None:
        request = SmallRequest(
            method='POST', target=reports.PATH, body=b'\xc1'
        )
        page = self.finish(self.peers.parts_by_name['a'].handle(request))
        self.assertEqual(400, page.status)


class RecordTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.known = self.state('a')
        self.guarding = guard.ContentGuard(self.known, self.clock)
        self.memory = self.store()
        self.kept = records.QuarantineRecords(
            self.known, self.guarding, self.memory, self.clock, lambda: 1000.0
        )
        self.guarding.on_quarantined = self.kept.write

    def record(self, until: float) -> state_module.QuarantineRecord:
        return state_module.QuarantineRecord(
            request='h/p',
            targets=(TargetId('t0'),),
            instance='b',
            until=WallTime(until),
        )

    def end_targets(self) -> None:
        for number in range(3):
            self.guarding.target_ended(report(number))

    def test_a_quarantine_is_recorded_once(self) -> None:
        self.guarding.name(X, 'h/p')
        self.end_targets()
        self.run_for(0.5)
        value = self.keys.entries_by_key[keys.quarantine(X)].value
        found = msgspec.msgpack.decode(
            value, type=state_module.QuarantineRecord
        )
        self.assertEqual('h/p', found.request)
        self.assertEqual(('t0', 't1', 't2'), found.targets)

    def test_a_store_that_is_away_gets_it_later(self) -> None:
        self.memory.refuses = True
        self.end_targets()
        self.run_for(2.0)
        self.assertNotIn(keys.quarantine(X), self.keys.entries_by_key)
        self.memory.refuses = False
        self.run_for(2.0)
        self.assertIn(keys.quarantine(X), self.keys.entries_by_key)

    def test_what_nobody_recorded_is_recorded(self) -> None:
        """Three more targets ended each time that all instances were killed.

        1. An instance starts, and sees the third end under a request.
        2. It knows of one; the others know of three, and saw none of them.
        3. All are killed before anybody has written a record.
        """
        self.guarding.on_learnt = self.kept.expect
        self.guarding.take(report(number) for number in range(3))
        self.run_for(records.RECORD_WAIT + 0.5)
        self.assertIn(keys.quarantine(X), self.keys.entries_by_key)

    def test_what_another_instance_records_is_left_to_it(self) -> None:
        self.guarding.on_learnt = self.kept.expect
        self.guarding.take(report(number) for number in range(3))
        self.known.quarantined_by_content[X] = self.record(1060.0)
        self.run_for(records.RECORD_WAIT + 0.5)
        self.assertEqual([], self.memory.calls)

    # When a record of another instance ends, and what it says here.
    @params((1060.0, Verdict.QUARANTINED), (999.0, Verdict.CLEAR))
    def test_records_of_others(self, until: float, expected: Verdict) -> None:
        self.known.quarantined_by_content[X] = self.record(until)
        self.kept.update()
        self.assertEqual(expected, self.guarding.ledger.verdict(X))

    def test_a_record_that_is_removed_releases(self) -> None:
        self.known.quarantined_by_content[X] = self.record(1060.0)
        self.kept.update()
        del self.known.quarantined_by_content[X]
        self.kept.update()
        self.assertEqual(Verdict.CLEAR, self.guarding.ledger.verdict(X))

    def test_old_records_go_with_the_next_one(self) -> None:
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
        follow.listen(self.kept.update)
        self.finish(
            follow.followers_by_prefix[keys.FLEET_PREFIX]._read_pages()
        )
        self.assertEqual(Verdict.QUARANTINED, self.guarding.ledger.verdict(X))

    def test_an_operator_lists_and_takes_back(self) -> None:
        told = mock.Mock()
        answering = desk.QuarantineDesk(
            self.guarding, self.kept, told, self.clock
        )

        def ask(method: str, path: str) -> tuple[int, list]:
            request = SmallRequest(method=method, target=path)
            page = self.finish(answering.handle(request))
            return page.status, msgspec.json.decode(page.body)

        self.guarding.name(X, 'h/p')
        self.end_targets()
        self.run_for(0.5)
        self.known.quarantined_by_content[X] = self.record(1060.0)
        status, shown = ask('GET', desk.PATH)
        self.assertEqual((200, 'h/p'), (status, shown[0]['request']))
        self.assertEqual(['t0', 't1', 't2'], shown[0]['targets'])
        for method, path, code in (
            ('DELETE', f'{desk.PATH}/none', errors.ResultCode.UNKNOWN_PATH),
            ('POST', f'{desk.PATH}/x', errors.ResultCode.WRONG_METHOD),
        ):
            status, refused = ask(method, path)
            self.assertEqual(code, refused['code'])
            self.assertIn(status, (404, 405))
        self.assertEqual((200, []), ask('DELETE', f'{desk.PATH}/x'))
        told.tell.assert_called_once_with(reports.EndMessage(released=(X,)))
        self.assertEqual(Verdict.CLEAR, self.guarding.ledger.verdict(X))
        self.assertNotIn(keys.quarantine(X), self.keys.entries_by_key)
