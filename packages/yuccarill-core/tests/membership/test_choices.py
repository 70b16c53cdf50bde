"""Test the choice of probed members, helpers, receivers and addresses."""

from __future__ import annotations

import collections
import random
import unittest

from nose2.tools import params

from yuccarill.core.ids import InstanceId
from yuccarill.core.membership import addresses
from yuccarill.core.membership import gossip
from yuccarill.core.membership.instances import InstanceState
from yuccarill.core.membership import list_merger
from yuccarill.core.membership.member import MemberState
from yuccarill.core.membership import probing
from yuccarill.core.membership import ring
from yuccarill.core.membership import view as view_module

from .statements import statement

S, H, P = MemberState, probing.HelperAnswer, probing.ProbeStep


def fleet(size: int, centres: int = 11) -> dict:
    members = [
        statement(f'i{n}', data_centre=f'dc{n % centres}') for n in range(size)
    ]
    return {member.id: member for member in members}


class RingTest(unittest.TestCase):
    @params(2, 3, 5, 6, 12, 48, 410)
    def test_each_is_probed_by_as_many_as_it_probes(self, size: int) -> None:
        members = fleet(size)
        order = ring.order(members)
        probed = {i: ring.neighbours(i, order, members) for i in members}
        counts = collections.Counter(t for ts in probed.values() for t in ts)
        self.assertEqual({min(size - 1, ring.PROBED)}, set(counts.values()))
        # Updates passed along the edges reach all members in few hops.
        reached, hops = {'i0'}, 0
        while len(reached) < size:
            reached |= {t for i in reached for t in probed[i]}
            hops += 1
        self.assertLessEqual(hops, 16)

    def test_suspects_are_probed_and_replaced(self) -> None:
        members = fleet(48)
        order = ring.order(members)
        first = ring.neighbours(InstanceId('i0'), order, members)
        for each in first:
            members[each] = members[each].changed(S.SUSPECT)
        found = ring.neighbours(InstanceId('i0'), order, members)
        self.assertTrue(set(first).issubset(found))
        alive = [i for i in found if members[i].state is S.ALIVE]
        self.assertEqual(ring.PROBED, len(alive))


class ProbeRoundTest(unittest.TestCase):
    @params(
        ('reached', 3, [True], [], P.REACHED),
        ('reached at the second attempt', 3, [False, True], [], P.REACHED),
        ('one helper reaches', 3, 0, [H.NOT_REACHED, H.REACHED], P.REACHED),
        ('late helper reaches', 2, 0, [H.NO_ANSWER, H.REACHED], P.REACHED),
        ('confirmed', 2, 0, [H.NOT_REACHED, H.NO_ANSWER], P.SUSPECT),
        ('partitioned itself', 2, 0, [H.NO_ANSWER] * 2, P.UNCLEAR),
        ('helpers still asked', 2, 0, [H.NOT_REACHED], P.INDIRECT),
        ('nobody to ask', 0, 0, [], P.SUSPECT),
    )
    def test_outcomes(self, name, helpers, direct, answers, expected) -> None:
        probe_round = probing.ProbeRound()
        for was_reached in direct or [False, False]:
            probe_round.on_direct(was_reached)
        probe_round.set_helper_count(helpers)
        for answer in answers:
            probe_round.on_helper(answer)
        self.assertIs(expected, probe_round.step, name)

    def test_helpers_are_in_different_data_centres(self) -> None:
        members = fleet(60, centres=3).values()
        for chance in range(20):
            chosen = probing.helpers(
                members, 'i0', 'i1', random.Random(chance)
            )
            centres = {helper.data_centre for helper in chosen}
            self.assertEqual((3, 3), (len(chosen), len(centres)))


class StatementGossipTest(unittest.TestCase):
    def test_statement_is_resent_until_confirmed(self) -> None:
        # A batch is resent until confirmed, and the confirmation of an older
        # statement must not drop a newer one.
        statement_gossip = gossip.StatementGossip()
        statement_gossip.set_neighbours(['n', 'source'])
        old, new = statement('x', 1), statement('x', 2)
        statement_gossip.add([old], 'source')
        self.assertEqual(
            ((old,), ()),
            (statement_gossip.batch('n'), statement_gossip.batch('source')),
        )
        sent = statement_gossip.batch('n')
        statement_gossip.add([new], None)
        statement_gossip.confirm('n', sent)
        self.assertEqual((new,), statement_gossip.batch('n'))
        statement_gossip.confirm('n', (new,))
        self.assertEqual((), statement_gossip.batch('n'))

    def test_one_message_is_bounded(self) -> None:
        statement_gossip = gossip.StatementGossip()
        statement_gossip.set_neighbours(['n'])
        statement_gossip.add(fleet(410).values(), None)
        rounds = 0
        while batch := statement_gossip.batch('n'):
            self.assertLessEqual(len(batch), gossip.MAX_STATEMENTS)
            statement_gossip.confirm('n', batch)
            rounds += 1
        self.assertEqual(-(-410 // gossip.MAX_STATEMENTS), rounds)


class ListMergerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = view_module.View(statement('a'))
        self.view.merge(statement('b', 1, S.SUSPECT))
        self.merger = list_merger.ListMerger(self.view)

    def state_of_b(self) -> MemberState:
        return self.view.members_by_id['b'].state

    @params(
        ('dropped twice', [['a'], ['a']], S.GONE),
        ('dropped once', [['a'], ['a', 'b'], ['a']], S.SUSPECT),
        ('list lacks its reader', [[], [], []], S.SUSPECT),
    )
    def test_dropped_members(self, name, reads, expected) -> None:
        for ids in reads:
            listed = [statement(i).as_instance() for i in ids]
            self.merger.merge(listed)
        self.assertIs(expected, self.state_of_b(), name)

    def test_two_readers_per_data_centre(self) -> None:
        members = fleet(410)
        readers = collections.Counter()
        for member in members.values():
            view = view_module.View(member)
            view.merge_all(members.values())
            readers[member.data_centre] += list_merger.is_reader(view)
        self.assertEqual({2}, set(readers.values()))

    def test_leaving_in_the_list_is_a_change_only_once(self) -> None:
        self.view.merge(statement('b', 2))
        leaving = statement('b').changed(S.LEAVING).as_instance()
        self.merger.merge([leaving])
        self.assertIs(S.LISTED_LEAVING, self.state_of_b())
        self.view.merge(statement('b', 3, incarnation='2'))
        self.merger.merge([leaving])
        self.assertIs(S.ALIVE, self.state_of_b())


class AddressesTest(unittest.TestCase):
    def setUp(self) -> None:
        members = fleet(410).values()
        self.live = [member.as_instance() for member in members]

    def test_callers_spread_evenly_and_few_move(self) -> None:
        def firsts(live):
            return [addresses.choose(live, f'c{n}')[0].id for n in range(8200)]

        before = firsts(self.live)
        counts = collections.Counter(before)
        self.assertEqual(410, len(counts))
        self.assertLess(max(counts.values()), 3 * 20)
        lost = self.live[7].id
        after = firsts([i for i in self.live if i.id != lost])
        moved = {b for b, a in zip(before, after) if b != a}
        self.assertEqual({lost}, moved)

    @params(('dc3', 7), ('unknown', 0), (None, 0))
    def test_own_data_centre_comes_first(self, centre, near) -> None:
        # The last of eight addresses is in another data centre, so that one
        # remains if the caller's data centre is lost.
        chosen = addresses.choose(self.live, 'caller', centre)
        self.assertEqual(addresses.MAX_ADDRESSES, len(chosen))
        first = [i.data_centre == centre for i in chosen]
        self.assertEqual([True] * near, first[:near])
        if near:
            self.assertFalse(first[-1])

    def test_only_alive_members_are_live(self) -> None:
        view = view_module.View(statement('a'))
        for state in MemberState:
            view.merge(statement(state.name, 1, state))
        live = {member.id for member in view.live()}
        self.assertEqual({'a', 'ALIVE'}, live)
        left = statement('a').changed(S.LEAVING).as_instance()
        self.assertIs(InstanceState.LEAVING, left.state)
