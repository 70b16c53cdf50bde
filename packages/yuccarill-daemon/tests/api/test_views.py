"""Test the replies to operators."""

from __future__ import annotations

import collections
import unittest
from unittest import mock

from yuccarill.core.config import deltas
from yuccarill.core.config import documents
from yuccarill.core.config.head import Change
from yuccarill.core.errors import ResultCode
from yuccarill.daemon.api import audit_view
from yuccarill.daemon.api import status_view
from yuccarill.daemon.controllers import configuration


class AuditViewTest(unittest.TestCase):
    def test_shows_changes_and_refusals_by_time(self) -> None:
        change = Change(
            revision=3,
            change_id='c',
            author='amina',
            applied_at=20.0,
            digest='d',
            delta=deltas.Delta(
                {'models': [{'name': 'm'}]}, {'engines': ['e']}
            ),
        )
        refusal = configuration.Refusal(
            change_id='r',
            author='otto',
            refused_at=10.0,
            base=1,
            code=ResultCode.REVISION_CONFLICT,
            message='',
        )
        page = documents.AuditPage(previous=2, changes=(change,))
        reply = audit_view.reply(page, [refusal])
        shown = [
            (e.base, e.revision, e.author, e.result, e.entries)
            for e in reply.changes
        ]
        refused = (1, None, 'otto', 'refused REVISION_CONFLICT', ())
        applied = (2, 3, 'amina', 'applied', ('engines e', 'models m'))
        self.assertEqual([refused, applied], shown)
        self.assertEqual(2, reply.previous)


class StatusViewTest(unittest.TestCase):
    def test_shows_only_targets_with_known_state(self) -> None:
        blackboard = mock.Mock(
            snapshot=None,
            instances_by_id={},
            in_flight_by_id=collections.Counter(idle=0, busy=2),
            targets_by_id={'e': mock.Mock(weight_version=7, staged_version=8)},
        )
        view = status_view.StatusView(
            blackboard,
            'i',
            mock.Mock(),
            mock.Mock(),
            mock.Mock(sent=1, received=2),
        )
        shown = [
            (t.id, t.in_flight, t.weight_version) for t in view.reply().targets
        ]
        self.assertEqual([('busy', 2, None), ('e', 0, 7)], shown)
