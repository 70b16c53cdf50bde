"""Test how statements about members are merged and refuted."""

from __future__ import annotations

import itertools
import random
import unittest

from hypothesis import seed
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.membership.member import MemberState
from yuccarill.core.membership import view as view_module

from .statements import statement

S = MemberState
NAMES = ['a', 'b', 'c', 'd']


class ViewTest(unittest.TestCase):
    @params(*itertools.permutations(range(4)))
    def test_any_order_gives_the_same_view(self, *order: int) -> None:
        said = [
            statement('b', 1, S.SUSPECT),
            statement('b', 2),
            statement('b', 2, S.LEAVING),
            statement('b', 1, S.LISTED_LEAVING),
        ]
        view = view_module.View(statement('a'))
        for number in (*order, *order):
            view.merge(said[number])
        self.assertEqual(said[2], view.members_by_id['b'])
        other = view_module.View(statement('a'))
        other.merge(said[2])
        self.assertEqual(other.digest, view.digest)

    @params(
        ('suspicion waits until reached', S.ALIVE, S.SUSPECT, False, 5, 0),
        ('suspicion refuted', S.ALIVE, S.SUSPECT, True, 6, 0),
        ('leaving stays leaving', S.LEAVING, S.GONE, False, 5, S.GONE),
        ('gone is refuted', S.ALIVE, S.GONE, False, 6, 0),
        ('listing is accepted', S.ALIVE, S.LISTED_LEAVING, True, 5, 2),
    )
    def test_answers(self, name, mine, said, reached, version, state) -> None:
        view = view_module.View(statement('a', 5, mine))
        view.merge(statement('a', 5, said))
        if reached:
            view.refute_suspicion()
        found = view.me
        self.assertEqual((version, state), (found.version, found.state), name)

    @params(*MemberState)
    def test_restart_with_a_clock_set_back(self, state) -> None:
        # Statements about the previous process have a higher version, since
        # its clock was ahead; they must not exclude the new process.
        view = view_module.View(statement('a', 3, incarnation='new'))
        view.merge(statement('a', 900, state, incarnation='old'))
        self.assertEqual(statement('a', 901, incarnation='new'), view.me)

    def test_gone_member_is_kept_until_it_expires(self) -> None:
        view = view_module.View(statement('a'))
        view.merge(statement('b', 1, S.GONE))
        for now in (0.0, view_module.GONE_SECONDS - 1.0):
            view.sweep(Instant(now))
        self.assertFalse(view.merge(statement('b', 1)))
        view.sweep(Instant(view_module.GONE_SECONDS))
        self.assertNotIn('b', view.members_by_id)


class Gossip(stateful.RuleBasedStateMachine):
    """Deliver statements to views late, repeatedly and out of order."""

    def __init__(self) -> None:
        super().__init__()
        self.starts = dict.fromkeys(NAMES, 1)
        self.views = {name: self.view(name) for name in NAMES}
        self.known = [view.me for view in self.views.values()]
        self.left: set[tuple[str, str]] = set()
        self.seen_leaving: set[tuple[str, str, str]] = set()

    def view(self, name: str) -> view_module.View:
        start = self.starts[name]
        me = statement(name, 10 - start, incarnation=f'{start}')
        return view_module.View(me)

    names = strategies.sampled_from(NAMES)

    @stateful.rule(name=names, pick=strategies.integers(0, 10**6))
    def hear(self, name: str, pick: int) -> None:
        self.views[name].merge(self.known[pick % len(self.known)])

    @stateful.rule(name=names, other=names)
    def suspect(self, name: str, other: str) -> None:
        if name != other:
            self.views[name].set_state(other, S.SUSPECT)

    @stateful.rule(name=names)
    def leave(self, name: str) -> None:
        self.views[name].leave()
        me = self.views[name].me
        self.left.add((me.id, me.incarnation))

    @stateful.rule(name=names)
    def be_reached(self, name: str) -> None:
        self.views[name].refute_suspicion()

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        # The clock is set back: each start has a lower first version.
        self.starts[name] += 1
        self.views[name] = self.view(name)
        self.seen_leaving = {s for s in self.seen_leaving if s[0] != name}

    @stateful.invariant()
    def says_all(self) -> None:
        for view in self.views.values():
            for each in view.members_by_id.values():
                if each not in self.known:
                    self.known.append(each)

    @stateful.invariant()
    def leaving_never_becomes_live(self) -> None:
        for name, view in self.views.items():
            for each in view.members_by_id.values():
                key = (name, each.id, each.incarnation)
                if each.is_stopping:
                    self.seen_leaving.add(key)
                elif (each.id, each.incarnation) in self.left:
                    assert key not in self.seen_leaving, each

    def teardown(self) -> None:
        # Once every view has merged and refuted all statements, it must
        # equal a naive merge that keeps the highest statement.
        generator = random.Random(1)
        for _ in range(4):
            self.says_all()
            for view in self.views.values():
                heard = list(self.known)
                generator.shuffle(heard)
                view.merge_all(heard)
                view.refute_suspicion()
        self.says_all()
        naive = {
            name: max(
                (s for s in self.known if s.id == name), key=lambda s: s.rank
            )
            for name in NAMES
        }
        for view in self.views.values():
            assert view.members_by_id == naive
            assert view.digest == self.views['a'].digest
        for name in NAMES:
            running = naive[name].incarnation == f'{self.starts[name]}'
            is_leaving = (name, naive[name].incarnation) in self.left
            assert running and is_leaving == naive[name].is_stopping


GossipTest = seed(7)(Gossip).TestCase
GossipTest.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, database=None
)
