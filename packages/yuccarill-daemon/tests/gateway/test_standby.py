"""Test that a standby resumes texts while the holder and the store are lost.

No instance can acquire the duty before the store recovers and the holder's
lease expires.
"""

from __future__ import annotations

from twisted.internet import task

from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.jobs import generation
from yuccarill.daemon.gateway.jobs import text_copier
from yuccarill.daemon.gateway.jobs import text_fetch
from yuccarill.daemon.gateway.jobs import texts
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.quarantine import detector
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import watched_calls
from yuccarill.daemon.gateway.standby import copier
from yuccarill.daemon.gateway.standby import service as standby_service
from yuccarill.daemon.gateway.standby import standby_runner
from yuccarill.daemon.gateway.standby import witness
from yuccarill.daemon.gateway import state as state_module

from . import runner_world
from . import world

HOLDER = 'a'
# The holder and the candidates for its standby.
NAMES = (HOLDER, 'b', 'c', 'd')
# Leaves the texts unfinished when the outage begins.
EVENT_SECONDS = 0.5


class Peer:
    """Bundle the components of one instance."""

    def __init__(self, test: StandbyTest, name: str) -> None:
        self.state: state_module.GatewayState = test.state(name)
        self.state.route_table = test.table
        for each in NAMES:
            world.list_instance(self.state, each)
        for engine in test.engines.engines_by_id.values():
            self.state.targets.put(engine.target)
        self.store_age = 0.0
        self.depot = texts.TextCopyStore(test.clock)
        self.peers = peer_call.PeerCalls(Links(test, name), test.clock)
        guarding = guard.ContentGuard(self.state, test.clock)
        self.calls = watched_calls.WatchedCalls(
            test.engines,
            detector.CrashDetector(test.engines, guarding, test.clock),
            guarding,
        )
        self.standby_service = standby_service.StandbyService(
            self.state,
            lambda: self.store_age,
            self.depot,
            witness.Witnesses(self.state, self.peers, lambda: self.store_age),
            lambda service: standby_runner.StandbyRunner(
                service,
                self.state,
                generation.Generator(self.calls, test.clock),
                guarding,
                runner_world.Scorer(),
                test.clock,
            ),
            test.notify_holder,
            lambda: test.store_retries.append(name),
            test.clock,
        )
        self.standby_service.start()
        test.addCleanup(self.standby_service.stop, world.SERVICE)

    async def handle(
        self, request: small_server.SmallRequest
    ) -> small_server.SmallResponse:
        if self.standby_service.handles_path(request.path):
            return await self.standby_service.handle(request)
        return await self.depot.handle(request)


class StandbyTest(runner_world.RunnerTest):
    def setUp(self) -> None:
        super().setUp()
        for engine in self.engines.engines_by_id.values():
            engine.gap = EVENT_SECONDS
        # Instances that answer no calls.
        self.lost: set[str] = set()
        # Standby addresses that the holder would record in the store.
        self.recorded_standbys: list[str] = []
        # Holders that were notified of the store's recovery.
        self.notified_holders: list[str] = []
        # Instances that retried the store.
        self.store_retries: list[str] = []
        self.peers_by_name = {name: Peer(self, name) for name in NAMES}
        self.running = self.hold(HOLDER)
        holder = self.peers_by_name[HOLDER]
        sender = texts.TextSender(
            holder.state, Links(self, HOLDER), self.clock
        )
        self.text_copy = text_copier.TextCopier(
            world.SERVICE, self.running.open_texts, sender, self.clock
        )
        self.job_copier = copier.JobCopier(
            world.SERVICE,
            holder.state,
            self.running.open_jobs,
            sender,
            holder.peers,
            self.recorded_standbys.append,
            self.clock,
        )
        self.text_copy.start()
        self.job_copier.start()
        self.standby = self.peers_by_name[
            sender.receivers(world.SERVICE)[0].instance
        ]

    def lose_holder(self) -> None:
        self.lost.add(HOLDER)
        self.text_copy.stop()
        self.job_copier.stop()
        self.running.stop()

    async def notify_holder(self, holder: str, service: str) -> bool:
        self.notified_holders.append(holder)
        return True

    def silence_store(self, is_silent: bool = True) -> None:
        self.memory.drops_calls = is_silent
        for peer in self.peers_by_name.values():
            peer.store_age = 9.0 if is_silent else 0.0

    def standby_event_count(self) -> int:
        """Return the number of events in all texts of the standby."""
        self.standby.depot.on_read(world.SERVICE)
        kept = self.standby.depot.texts(world.SERVICE)
        return sum(len(text.parts) for text in kept)

    def test_standby_completes_texts_during_store_outage(self) -> None:
        """Generation must not stop until the lease can be acquired again.

        The standby completes its copies and the next holder lists them.
        """
        self.submit()
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(6.0)
        self.assertEqual(0, self.listed_count())
        self.silence_store(False)
        self.run_for(2.0)
        self.assertEqual(4 * runner_world.EVENTS, self.standby_event_count())
        runs = len(self.engines.runs)
        handed = self.standby.depot.remove_texts(world.SERVICE)
        self.hold('b', handed)
        self.run_for(1.5)
        results = self.results()
        self.assertEqual(4, len(results))
        for result in results:
            self.assertEqual(runner_world.whole_text(), result.text)
            self.assertEqual(f'score of {result.id}', result.score)
        self.assertEqual(runs, len(self.engines.runs))

    def listed_count(self) -> int:
        return sum(key.startswith('results/j/0') for key in self.keys_known())

    def keys_known(self) -> list[str]:
        return list(self.keys.entries_by_key)

    def test_texts_are_fetched_from_unlisted_instances(self) -> None:
        """A new holder must not restart texts that an unlisted standby has.

        All leases expired during the outage, so the new holder asks the
        instances that were listed before.
        """
        self.submit()
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(3.0)
        mine = self.standby.state.settings.instance
        state = next(
            peer.state
            for name, peer in self.peers_by_name.items()
            if name not in (HOLDER, mine)
        )
        state.recent_instances_by_id = state.instances_by_id
        state.instances_by_id = {}
        fetcher = text_fetch.TextFetcher(
            state, Links(self, str(state.settings.instance)), self.clock
        )
        fetched = self.finish(fetcher.fetch(world.SERVICE))
        self.assertEqual(4, len(fetched.texts))
        self.assert_nothing_runs()

    def test_a_replacement_fetches_texts_from_the_standby(self) -> None:
        """A replacement machine must not restart texts that a standby has.

        The new machine has seen no instance; the last holder's record contains
        the address of the standby.
        """
        self.submit()
        self.run_for(3.0)
        self.lose_holder()
        self.silence_store()
        self.run_for(3.0)
        self.peers_by_name['new'] = Peer(self, 'new')
        state = self.peers_by_name['new'].state
        state.instances_by_id = {}
        fetcher = text_fetch.TextFetcher(state, Links(self, 'new'), self.clock)
        fetched = self.finish(
            fetcher.fetch(world.SERVICE, self.recorded_standbys[-1])
        )
        self.assertEqual(4, len(fetched.texts))
        self.assertTrue(fetched.is_whole)
        self.assert_nothing_runs()

    def test_a_standby_is_recorded_after_several_answers(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.assertEqual([], self.recorded_standbys)
        self.run_for(1.5)
        name = self.standby.state.settings.instance
        self.assertEqual({f'{name}:2'}, set(self.recorded_standbys))

    def test_a_former_standby_resumes_nothing(self) -> None:
        """A replaced standby must not run outdated copies of the texts."""
        listed = self.peers_by_name[HOLDER].state.instances_by_id
        name = self.standby.state.settings.instance
        record = listed.pop(name)
        self.submit()
        self.run_for(1.2)
        listed[name] = record
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(3.0)
        running = [
            peer.state.settings.instance
            for peer in self.peers_by_name.values()
            for known in peer.standby_service._holders_by_service.values()
            if known.runner is not None
        ]
        self.assertEqual([name], running)

    def test_pending_items_are_started(self) -> None:
        self.submit(groups=8)
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        before = {name for name, _ in self.engines.runs}
        self.run_for(8.0)
        after = {name for name, _ in self.engines.runs}
        self.assertLess(len(before), 16)
        self.assertEqual(16, len(after))

    def test_listed_items_do_not_run_again(self) -> None:
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.02
        self.submit()
        self.run_for(2.0)
        self.assertEqual(4, len(self.results()))
        runs = len(self.engines.runs)
        self.lose_holder()
        self.silence_store()
        self.run_for(6.0)
        self.assertEqual(runs, len(self.engines.runs))

    def test_texts_of_listed_items_are_dropped(self) -> None:
        """Texts of listed items must not make the copy too large to fetch."""
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.1
        self.submit()
        self.run_for(1.2)
        self.assertEqual(4, len(self.standby.depot.texts(world.SERVICE)))
        self.run_for(5.0)
        self.assertEqual(4, len(self.results()))
        self.assertEqual([], self.standby.depot.texts(world.SERVICE))

    def test_an_ended_job_is_not_resumed(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.finish(self.end('j'))
        self.run_for(1.2)
        runs = len(self.engines.runs)
        self.lose_holder()
        self.silence_store()
        self.run_for(6.0)
        self.assertEqual(runs, len(self.engines.runs))

    async def end(self, name: str) -> None:
        jobs = runner_world.job_store.JobStore(self.store(), self.clock)
        await jobs.end(world.SERVICE, runner_world.JobId(name))

    def assert_nothing_runs(self) -> None:
        runs = len(self.engines.runs)
        self.run_for(6.0)
        self.assertEqual(runs, len(self.engines.runs))

    def test_standby_does_not_run_while_the_store_is_available(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.lose_holder()
        self.assert_nothing_runs()

    def test_a_partitioned_standby_runs_nothing(self) -> None:
        """A partitioned standby and its holder would both run one text.

        The standby reaches the engines but no instance and no store.
        """
        self.submit()
        self.run_for(1.2)
        self.standby.store_age = 9.0
        self.lost |= {
            n for n in NAMES if n != self.standby.state.settings.instance
        }
        self.text_copy.stop()
        self.job_copier.stop()
        self.running.stop()
        self.assert_nothing_runs()

    def test_a_holder_that_other_instances_reach_is_not_lost(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.silence_store()
        self.job_copier.stop()
        self.text_copy.stop()
        runs = self.run_count()
        self.run_for(3.0)
        self.assertEqual(runs, self.run_count())

    def test_a_restarted_holder_counts_as_lost(self) -> None:
        """A restarted holder answers calls but has lost its texts."""
        self.submit()
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(0.5)
        self.peers_by_name[HOLDER] = Peer(self, HOLDER)
        self.lost.clear()
        runs = self.run_count()
        self.run_for(3.0)
        self.assertGreater(self.run_count(), runs)

    def test_a_restarted_holder_is_notified_of_store_recovery(self) -> None:
        """A restarted holder would retry the store too late by itself."""
        self.submit()
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(4.0)
        self.assertEqual([], self.notified_holders)
        self.silence_store(False)
        self.run_for(0.2)
        self.assertEqual([HOLDER], self.notified_holders)

    def test_a_running_standby_retries_the_store(self) -> None:
        """The usual retry delays would detect the store's recovery late."""
        self.submit()
        self.run_for(1.2)
        self.assertEqual([], self.store_retries)
        self.lose_holder()
        self.silence_store()
        self.run_for(3.0)
        self.store_retries.clear()
        self.run_for(3.0)
        name = str(self.standby.state.settings.instance)
        self.assertEqual({name}, set(self.store_retries))
        self.assertIn(len(self.store_retries), (7, 8, 9, 10))
        self.silence_store(False)
        self.store_retries.clear()
        self.run_for(2.0)
        self.assertEqual([], self.store_retries)

    def test_a_store_that_other_instances_reach_is_not_lost(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.standby.store_age = 9.0
        self.lose_holder()
        self.assert_nothing_runs()

    def run_count(self) -> int:
        return len(self.engines.runs)

    def test_standby_stops_when_the_holder_answers(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.silence_store()
        self.lost.add(HOLDER)
        self.run_for(4.0)
        self.lost.clear()
        self.run_for(1.0)
        runs = self.run_count()
        self.run_for(2.0)
        self.assertEqual(runs, self.run_count())

    def test_standby_stops_after_recovery_without_successor(self) -> None:
        self.submit(groups=40)
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(4.0)
        self.silence_store(False)
        self.run_for(4.0)
        self.assert_nothing_runs()

    def test_a_restarted_standby_requests_whole_jobs(self) -> None:
        """A restarted standby must receive the jobs whole again."""
        self.submit()
        self.run_for(1.2)
        self.standby.standby_service.stop(world.SERVICE)
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        runs = self.run_count()
        self.run_for(5.0)
        self.assertGreater(self.run_count(), runs)


class Links:
    """Deliver peer calls between the instances of a test."""

    def __init__(self, test: StandbyTest, name: str) -> None:
        self._world = test
        self._name = name

    async def exchange(
        self,
        address: str,
        request: http_exchange.OutgoingRequest,
        deadline: Instant,
    ) -> http_exchange.Reply:
        name = InstanceId(address.partition(':')[0])
        await task.deferLater(self._world.clock, 0.001)
        if self._world.lost & {name, self._name}:
            left = max(0.0, deadline - self._world.clock.seconds())
            await task.deferLater(self._world.clock, left)
            raise http_exchange.ExchangeFailed('no answer')
        page = await self._world.peers_by_name[name].handle(
            small_server.SmallRequest(
                method=request.method, target=request.target, body=request.body
            )
        )
        head = http_exchange.ReplyHead(status=page.status, headers=())
        return http_exchange.Reply(head=head, body=page.body)
