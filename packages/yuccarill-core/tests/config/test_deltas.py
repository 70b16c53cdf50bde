"""Test that deltas give the same result as whole documents."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
import msgspec

from yuccarill.core.config import deltas
from yuccarill.core.config import follower
from yuccarill.core.config import head as head_module
from yuccarill.core.config import inventory as inventory_module
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime

NAMES = strategies.sampled_from('abcde')


def _entries(
    entry: type[inventory_module.Entry], **fields: object
) -> strategies.SearchStrategy[tuple[object, ...]]:
    return strategies.lists(
        strategies.builds(entry, **fields),
        unique_by=lambda e: getattr(e, 'id', None) or e.name,
        max_size=5,
    ).map(tuple)


INVENTORIES = strategies.builds(
    inventory_module.Inventory,
    models=_entries(
        inventory_module.Model,
        name=NAMES,
        serving_part=strategies.sampled_from((0.5, 0.7)),
    ),
    services=_entries(
        inventory_module.Service,
        name=NAMES,
        not_repeatable=strategies.lists(NAMES).map(tuple),
    ),
    trainers=_entries(
        inventory_module.Trainer,
        id=NAMES,
        model=NAMES,
        scorer=NAMES,
        staleness_bound=strategies.integers(0, 2),
        policy=strategies.sampled_from(
            (inventory_module.IdleFirst(), inventory_module.StalenessFirst())
        ),
    ),
).map(deltas.canonical)


def change(
    revision: int,
    inventory: inventory_module.Inventory,
    delta: deltas.Delta | None,
) -> head_module.Change:
    return head_module.Change(
        revision=Revision(revision),
        change_id=ChangeId(f'c{revision}'),
        author='a',
        applied_at=WallTime(0.0),
        digest=deltas.digest(inventory),
        delta=delta,
    )


class DeltasTest(unittest.TestCase):
    @seed(1)
    @settings(max_examples=150, deadline=None, database=None)
    @given(
        strategies.lists(INVENTORIES, min_size=1, max_size=8),
        strategies.data(),
    )
    def test_deltas_match_whole_documents(
        self,
        edits: list[inventory_module.Inventory],
        data: strategies.DataObject,
    ) -> None:
        # Guards against wrong inventories if heads arrive in any order, carry
        # any number of changes or leave gaps.
        changes = []
        previous = inventory_module.Inventory()
        for number, edited in enumerate(edits, 1):
            delta = deltas.delta_between(previous, edited)
            decoded = msgspec.json.decode(
                msgspec.json.encode(delta), type=deltas.Delta
            )
            changes.append(change(number, edited, decoded))
            previous = edited
        tested = follower.Follower()
        latest = 0
        offers = strategies.integers(1, len(edits))
        for last in data.draw(strategies.lists(offers, max_size=12)):
            first = data.draw(strategies.integers(1, last))
            head = head_module.Head(changes=tuple(changes[first - 1 : last]))
            offered = tested.offer(head)
            if offered is follower.OfferOutcome.GAP:
                self.assertGreater(first, latest + 1)
            if offered is not follower.OfferOutcome.APPLIED:
                offered = tested.install(changes[last - 1], edits[last - 1])
            self.assertEqual(
                last > latest, offered is follower.OfferOutcome.APPLIED
            )
            latest = max(latest, last)
            self.assertEqual(latest, tested.revision)
            self.assertEqual(edits[latest - 1], tested.snapshot.inventory)

    def test_refuses_a_delta_with_another_digest(self) -> None:
        # A corrupt delta must not replace the snapshot; the whole document
        # does.
        first, second = (
            inventory_module.Inventory(
                models=(inventory_module.Model(name=n),)
            )
            for n in 'ab'
        )
        tested = follower.Follower()
        tested.install(change(1, first, None), first)
        wrong = change(2, second, deltas.Delta(removed={'models': ['a']}))
        head = head_module.Head(changes=(wrong,))
        self.assertIs(follower.OfferOutcome.GAP, tested.offer(head))
        self.assertEqual(first, tested.snapshot.inventory)
        self.assertIs(
            follower.OfferOutcome.APPLIED, tested.install(wrong, second)
        )

    def test_unknown_section_is_a_gap(self) -> None:
        first = inventory_module.Inventory()
        wrong = change(1, first, deltas.Delta(put={'unheard': [{'id': 'x'}]}))
        offered = follower.Follower().offer(head_module.Head(changes=(wrong,)))
        self.assertIs(follower.OfferOutcome.GAP, offered)

    def test_trims_heads_sent_to_peers(self) -> None:
        big = deltas.Delta(put={'models': [{'name': 'x' * 1000}]})
        changes = tuple(
            change(n, inventory_module.Inventory(), big) for n in range(1, 9)
        )
        kept = head_module.trim_for_peers(head_module.Head(changes=changes))
        self.assertEqual([8], [c.revision for c in kept.changes])
        self.assertIsNotNone(kept.changes[0].delta)
        huge = deltas.Delta(put={'models': [{'name': 'x' * 20_000}]})
        last = change(9, inventory_module.Inventory(), huge)
        kept = head_module.trim_for_peers(head_module.Head(changes=(last,)))
        self.assertIsNone(kept.changes[0].delta)
