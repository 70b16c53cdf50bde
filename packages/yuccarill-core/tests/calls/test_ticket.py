"""Test the text form of tickets."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.calls import ticket as ticket_module
from yuccarill.core import errors
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import WallTime


class TicketTest(unittest.TestCase):
    def test_parses_its_text_form(self) -> None:
        ticket = ticket_module.Ticket(
            home=InstanceId('entry-1'),
            incarnation=Incarnation('ab12'),
            serial=7,
            expires_at=WallTime(1_700_000_035.0),
        )
        self.assertEqual(ticket, ticket_module.parse(str(ticket)))

    @params('', 'a/b/1', 'a/b/x/1', 'a/b/1/', 'a//1/1', 'a/b/1/\u00b2')
    def test_refuses_malformed_text(self, text: str) -> None:
        with self.assertRaises(errors.TicketError):
            ticket_module.parse(text)
