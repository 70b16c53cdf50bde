"""Test applying a document."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from nose2.tools import params

import fakes
from yuccarill.cli.exit_codes import ExitCode
from yuccarill.cli import transport
from yuccarill.core import errors

STANDING = {
    'revision': 4,
    'change_id': 'earlier',
    'author': 'amina',
    'applied_at': 0.0,
    'inventory': {'models': [{'name': 'm', 'serving_part': 0.5}]},
}
APPLIED = {'outcome': 'applied', 'revision': 5, 'change_id': 'c'}
CHANGE = {
    'base': 4,
    'revision': 5,
    'author': 'amina',
    'at': 0.0,
    'result': 'applied',
}
CONFLICT = errors.RevisionConflict('Revision 5 by amina stands.')


class ApplyTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / 'inventory.toml'
        self.file.write_text('[[models]]\nname = "m"\nserving_part = 0.6\n')

    def test_shows_the_base_and_names_it(self) -> None:
        fake = fakes.FakeTransport(STANDING, APPLIED)
        result = fakes.invoke(fake, 'apply', str(self.file))
        self.assertEqual(ExitCode.OK, result.exit_code, result.output)
        self.assertIn('Revision 4 by amina stands', result.output)
        self.assertIn('serving_part: 0.5 -> 0.6', result.output)
        self.assertEqual(4, fake.bodies[1]['base'])

    # Two operators change revision 4. The other one's write came first, so
    # the system refuses this one. The operator is told whose change stands
    # and what the own file would still change in it; nothing is overwritten.
    def test_a_lost_race_shows_what_stands(self) -> None:
        fake = fakes.FakeTransport(
            STANDING, fakes.refusal(CONFLICT), {**STANDING, 'revision': 5}
        )
        result = fakes.invoke(fake, 'apply', str(self.file))
        self.assertEqual(ExitCode.CONFLICT, result.exit_code)
        self.assertIn('2002 REVISION_CONFLICT: Revision 5', result.stderr)
        self.assertIn('serving_part: 0.5 -> 0.6', result.stderr)

    # The first address can't be reached, so nothing was sent there and the
    # second one may be tried.
    def test_an_address_that_got_nothing_is_passed_over(self) -> None:
        fake = fakes.FakeTransport(transport.NotSent('refused'), APPLIED)
        result = fakes.invoke(fake, 'apply', str(self.file), '--base', '4')
        self.assertEqual(ExitCode.OK, result.exit_code, result.output)
        self.assertEqual(fakes.OTHER, fake.sent[1][0])

    # The instance takes the change and falls silent. Sent again, the change
    # could run into itself and be reported as a conflict. So the command
    # only reads, from the other address first: the audit trail tells
    # whether this change or another one made the next revision.
    @params(
        ('own', ExitCode.OK, 'Revision 5 stands'),
        ('other', ExitCode.CONFLICT, 'Revision 5 was made by amina instead'),
        ('none', ExitCode.OUTCOME_UNKNOWN, '--base 4 --change-id'),
        ('down', ExitCode.OUTCOME_UNKNOWN, '--base 4 --change-id'),
    )
    def test_a_change_whose_reply_is_lost_is_not_sent_again(
        self, made: str, expected: ExitCode, shown: str
    ) -> None:
        def page(_body: object) -> object:
            change_ids = {
                'own': [fake.bodies[0]['change_id']],
                'other': ['other'],
                'none': [],
            }
            if made == 'down':
                return fakes.refusal(errors.StoreUnavailable('Down.'))
            entries = [{**CHANGE, 'change_id': c} for c in change_ids[made]]
            return {'changes': entries}

        fake = fakes.FakeTransport(transport.NoReply('timeout'), page)
        result = fakes.invoke(fake, 'apply', str(self.file), '--base', '4')
        self.assertEqual(expected, result.exit_code, result.output)
        sent = [(method, address) for address, method, _ in fake.sent]
        self.assertEqual([('PUT', fakes.ADDRESS), ('GET', fakes.OTHER)], sent)
        self.assertIn(shown, result.output)
