"""Test that texts go on while their holder is lost and the store is silent.

The pattern is that of the days that earned least on every deployment: the
holder is lost for good in the moment in which the store falls silent, for 6 s.
Steps of a few seconds are under way; nobody can take the duty before the
store is back and the holder's lease has ended.
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
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import target_ends
from yuccarill.daemon.gateway.quarantine import watched_calls
from yuccarill.daemon.gateway.standby import copier
from yuccarill.daemon.gateway.standby import desk
from yuccarill.daemon.gateway.standby import unlisted_runs
from yuccarill.daemon.gateway.standby import witness
from yuccarill.daemon.gateway import state as state_module

from . import runner_world
from . import world

HOLDER = 'a'
# The most suitable one after the holder, and others.
NAMES = (HOLDER, 'b', 'c', 'd')
# Seconds an event, so that a step takes longer than the outage.
SLOW = 0.5


class Peer:
    """Hold one instance beside the holder."""

    def __init__(self, found: StandbyTest, name: str) -> None:
        self.state: state_module.GatewayState = found.state(name)
        self.state.table = found.table
        for each in NAMES:
            world.list_instance(self.state, each)
        for engine in found.engines.engines_by_id.values():
            self.state.targets.put(engine.target)
        self.store_age = 0.0
        self.depot = texts.TextDepot(found.clock)
        self.peers = peer_call.PeerCalls(Links(found, name), found.clock)
        guarding = guard.ContentGuard(self.state, found.clock)
        self.calls = watched_calls.WatchedCalls(
            found.engines,
            target_ends.TargetEnds(found.engines, guarding, found.clock),
            guarding,
        )
        self.desk = desk.StandbyDesk(
            self.state,
            lambda: self.store_age,
            self.depot,
            witness.Witnesses(self.state, self.peers, lambda: self.store_age),
            lambda service: unlisted_runs.StandbyRunner(
                service,
                self.state,
                generation.Generator(self.calls, found.clock),
                guarding,
                runner_world.Scorer(),
                found.clock,
            ),
            found.tell_return,
            lambda: found.probes.append(name),
            found.clock,
        )
        self.desk.start()
        found.addCleanup(self.desk.stop, world.SERVICE)

    async def handle(
        self, request: small_server.SmallRequest
    ) -> small_server.Page:
        if self.desk.handles(request.path):
            return await self.desk.handle(request)
        return await self.depot.handle(request)


class StandbyTest(runner_world.RunnerTest):
    def setUp(self) -> None:
        super().setUp()
        for engine in self.engines.engines_by_id.values():
            engine.gap = SLOW
        # Instances that answer nobody.
        self.lost: set[str] = set()
        # Standbys that the holder would name in the store.
        self.named: list[str] = []
        # Holders that were told of the store's return.
        self.told: list[str] = []
        # Instances that looked whether the store is back.
        self.probes: list[str] = []
        self.peers_by_name = {name: Peer(self, name) for name in NAMES}
        self.running = self.hold(HOLDER)
        holder = self.peers_by_name[HOLDER]
        sender = texts.TextSender(
            holder.state, Links(self, HOLDER), self.clock
        )
        self.copying = text_copier.StandbyCopy(
            world.SERVICE, self.running.open_texts, sender, self.clock
        )
        self.telling = copier.JobCopier(
            world.SERVICE,
            holder.state,
            self.running.open_jobs,
            sender,
            holder.peers,
            self.named.append,
            self.clock,
        )
        self.copying.start()
        self.telling.start()
        self.standby = self.peers_by_name[
            sender.receivers(world.SERVICE)[0].instance
        ]

    def lose_holder(self) -> None:
        self.lost.add(HOLDER)
        self.copying.stop()
        self.telling.stop()
        self.running.stop()

    async def tell_return(self, holder: str, service: str) -> bool:
        self.told.append(holder)
        return True

    def silence_store(self, is_silent: bool = True) -> None:
        self.memory.is_silent = is_silent
        for peer in self.peers_by_name.values():
            peer.store_age = 9.0 if is_silent else 0.0

    def made(self) -> int:
        """Return how many events the standby has of all texts."""
        self.standby.depot.on_show(world.SERVICE)
        kept = self.standby.depot.kept(world.SERVICE)
        return sum(len(text.parts) for text in kept)

    def test_texts_go_on_while_the_store_is_silent(self) -> None:
        """Steps of 5 s took 13, since nothing was generated for 9.5 s.

        1. The holder loses power with four texts under way.
        2. In the same moment the store falls silent for 6 s.
        3. Its standby hears nothing of either, and two others say the same:
           it goes on with the copies that it has.
        4. The store is back; the next holder gets whole texts and lists them.
        """
        self.submit()
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(6.0)
        self.assertEqual(0, self.lists())
        self.silence_store(False)
        self.run_for(2.0)
        self.assertEqual(4 * runner_world.EVENTS, self.made())
        runs = len(self.engines.runs)
        handed = self.standby.depot.take(world.SERVICE)
        self.hold('b', handed)
        self.run_for(1.5)
        results = self.results()
        self.assertEqual(4, len(results))
        for result in results:
            self.assertEqual(runner_world.whole_text(), result.text)
            self.assertEqual(f'score of {result.id}', result.score)
        self.assertEqual(runs, len(self.engines.runs))

    def lists(self) -> int:
        return sum(key.startswith('results/j/0') for key in self.keys_known())

    def keys_known(self) -> list[str]:
        return list(self.keys.entries_by_key)

    def test_texts_are_found_though_nobody_is_listed(self) -> None:
        """A new holder began 96 texts anew that its neighbour had.

        1. The store let all leases run out while it was away.
        2. It is back: an instance takes the duty before any other one is
           listed again.
        3. It asks those that were listed before; the standby hands over what
           it has, and runs it no longer.
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
        state.known_instances_by_id = state.instances_by_id
        state.instances_by_id = {}
        fetcher = text_fetch.TextFetcher(
            state, Links(self, str(state.settings.instance)), self.clock
        )
        found = self.finish(fetcher.fetch(world.SERVICE))
        self.assertEqual(4, len(found.texts))
        self.assert_nothing_runs()

    def test_a_new_instance_finds_the_standby(self) -> None:
        """A machine that replaced the holder began 246 texts anew.

        1. The holder's machine is lost while the store is away and lets all
           leases run out; its replacement starts meanwhile.
        2. The store is back, and the replacement takes the duty before any
           other instance is listed: it has never known one.
        3. The last holder's record names the standby, which gives its texts.
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
        found = self.finish(fetcher.fetch(world.SERVICE, self.named[-1]))
        self.assertEqual(4, len(found.texts))
        self.assertTrue(found.is_whole)
        self.assert_nothing_runs()

    def test_a_standby_is_named_once_it_goes_on_answering(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.assertEqual([], self.named)
        self.run_for(1.5)
        name = self.standby.state.settings.instance
        self.assertEqual({f'{name}:2'}, set(self.named))

    def test_a_former_standby_goes_on_with_nothing(self) -> None:
        """Two instances ran a lost holder's texts, one of them old ones.

        1. An instance joins that is more suitable than the standby.
        2. The holder is lost in the moment in which the store falls silent.
        """
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
            for known in peer.desk._services_by_name.values()
            if known.runner is not None
        ]
        self.assertEqual([name], running)

    def test_items_that_were_not_begun_are_begun(self) -> None:
        self.submit(groups=8)
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        before = {name for name, _ in self.engines.runs}
        self.run_for(8.0)
        after = {name for name, _ in self.engines.runs}
        self.assertLess(len(before), 16)
        self.assertEqual(16, len(after))

    def test_what_is_listed_is_not_made_again(self) -> None:
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

    def test_texts_of_listed_items_are_kept_no_longer(self) -> None:
        """A copy of 500 texts was too large to fetch, half of them listed."""
        for engine in self.engines.engines_by_id.values():
            engine.gap = 0.1
        self.submit()
        self.run_for(1.2)
        self.assertEqual(4, len(self.standby.depot.kept(world.SERVICE)))
        self.run_for(5.0)
        self.assertEqual(4, len(self.results()))
        self.assertEqual([], self.standby.depot.kept(world.SERVICE))

    def test_an_ended_job_is_not_gone_on_with(self) -> None:
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

    def test_while_the_store_is_there_the_lease_decides(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.lose_holder()
        self.assert_nothing_runs()

    def test_a_standby_that_is_cut_off_runs_nothing(self) -> None:
        """Both would send one text to two engines.

        1. The standby is cut off from all instances and from the store, and
           still reaches the engines.
        2. Its holder is alive and goes on.
        """
        self.submit()
        self.run_for(1.2)
        self.standby.store_age = 9.0
        self.lost |= {
            n for n in NAMES if n != self.standby.state.settings.instance
        }
        self.copying.stop()
        self.telling.stop()
        self.running.stop()
        self.assert_nothing_runs()

    def test_a_holder_that_others_reach_is_not_lost(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.silence_store()
        self.telling.stop()
        self.copying.stop()
        runs = self.runs_begun()
        self.run_for(3.0)
        self.assertEqual(runs, self.runs_begun())

    def test_a_holder_that_started_again_is_lost(self) -> None:
        """Nothing was generated for 6.7 s: the holder's port was answered.

        1. The holder's process is killed with texts under way, in the moment
           in which the store falls silent.
        2. Half a second later it is there again, without its texts and
           without a way to the store, and answers whoever asks.
        3. Its standby goes on with the copies.
        """
        self.submit()
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(0.5)
        self.peers_by_name[HOLDER] = Peer(self, HOLDER)
        self.lost.clear()
        runs = self.runs_begun()
        self.run_for(3.0)
        self.assertGreater(self.runs_begun(), runs)

    def test_a_holder_that_started_again_is_told_of_the_return(self) -> None:
        """It looked for the store 1.1 s after the others were back at it."""
        self.submit()
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(4.0)
        self.assertEqual([], self.told)
        self.silence_store(False)
        self.run_for(0.2)
        self.assertEqual([HOLDER], self.told)

    def test_a_standby_that_runs_looks_for_the_store(self) -> None:
        """It found the store 1.0 s after its return, by its own pauses."""
        self.submit()
        self.run_for(1.2)
        self.assertEqual([], self.probes)
        self.lose_holder()
        self.silence_store()
        self.run_for(3.0)
        self.probes.clear()
        self.run_for(3.0)
        name = str(self.standby.state.settings.instance)
        self.assertEqual({name}, set(self.probes))
        self.assertIn(len(self.probes), (7, 8, 9, 10))
        self.silence_store(False)
        self.probes.clear()
        self.run_for(2.0)
        self.assertEqual([], self.probes)

    def test_a_store_that_others_reach_is_not_away(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.standby.store_age = 9.0
        self.lose_holder()
        self.assert_nothing_runs()

    def runs_begun(self) -> int:
        return len(self.engines.runs)

    def test_it_ends_when_the_holder_is_back(self) -> None:
        self.submit()
        self.run_for(1.2)
        self.silence_store()
        self.lost.add(HOLDER)
        self.run_for(4.0)
        self.lost.clear()
        self.run_for(1.0)
        runs = self.runs_begun()
        self.run_for(2.0)
        self.assertEqual(runs, self.runs_begun())

    def test_it_ends_where_the_store_is_back_and_nobody_follows(self) -> None:
        self.submit(groups=40)
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        self.run_for(4.0)
        self.silence_store(False)
        self.run_for(4.0)
        self.assert_nothing_runs()

    def test_a_late_standby_asks_for_the_jobs(self) -> None:
        """A standby that has started again is sent the jobs whole."""
        self.submit()
        self.run_for(1.2)
        self.standby.desk.stop(world.SERVICE)
        self.run_for(1.2)
        self.lose_holder()
        self.silence_store()
        runs = self.runs_begun()
        self.run_for(5.0)
        self.assertGreater(self.runs_begun(), runs)


class Links:
    """Carry calls between the instances of a world."""

    def __init__(self, found: StandbyTest, name: str) -> None:
        self._world = found
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
            raise http_exchange.ExchangeBroken('no answer')
        page = await self._world.peers_by_name[name].handle(
            small_server.SmallRequest(
                method=request.method, target=request.target, body=request.body
            )
        )
        head = http_exchange.ReplyHead(status=page.status, headers=())
        return http_exchange.Reply(head=head, body=page.body)
