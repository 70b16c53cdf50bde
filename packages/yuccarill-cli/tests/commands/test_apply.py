"""Test the apply command."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from nose2.tools import params

import fakes
from yuccarill.cli.exit_codes import ExitCode
from yuccarill.cli import transport
from yuccarill.core import errors

CURRENT = {
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

    def test_current_revision_is_the_default_base(self) -> None:
        fake = fakes.FakeTransport(CURRENT, APPLIED)
        result = fakes.invoke(fake, 'apply', str(self.file))
        self.assertEqual(ExitCode.OK, result.exit_code, result.output)
        self.assertIn('Revision 4 by amina is current', result.output)
        self.assertIn('serving_part: 0.5 -> 0.6', result.output)
        self.assertEqual(4, fake.bodies[1]['base'])

    # After a conflict, the operator sees the current revision and what the
    # file would change in it; the other change is not overwritten.
    def test_conflict_shows_current_revision(self) -> None:
        fake = fakes.FakeTransport(
            CURRENT, fakes.refusal(CONFLICT), {**CURRENT, 'revision': 5}
        )
        result = fakes.invoke(fake, 'apply', str(self.file))
        self.assertEqual(ExitCode.CONFLICT, result.exit_code)
        self.assertIn('2002 REVISION_CONFLICT: Revision 5', result.stderr)
        self.assertIn('serving_part: 0.5 -> 0.6', result.stderr)

    def test_unreachable_address_is_skipped(self) -> None:
        fake = fakes.FakeTransport(transport.NotSent('refused'), APPLIED)
        result = fakes.invoke(fake, 'apply', str(self.file), '--base', '4')
        self.assertEqual(ExitCode.OK, result.exit_code, result.output)
        self.assertEqual(fakes.OTHER, fake.sent[1][0])

    # Guards against a change that conflicts with itself after a lost reply:
    # the command reads the audit trail instead of sending the change again.
    @params(
        ('own', ExitCode.OK, 'Revision 5 is current'),
        ('other', ExitCode.CONFLICT, 'Revision 5 was made by amina instead'),
        ('none', ExitCode.OUTCOME_UNKNOWN, '--base 4 --change-id'),
        ('down', ExitCode.OUTCOME_UNKNOWN, '--base 4 --change-id'),
    )
    def test_change_is_not_sent_again_after_a_lost_reply(
        self, audit: str, expected_code: ExitCode, expected_text: str
    ) -> None:
        def page(_body: object) -> object:
            change_ids = {
                'own': [fake.bodies[0]['change_id']],
                'other': ['other'],
                'none': [],
            }
            if audit == 'down':
                return fakes.refusal(errors.StoreUnavailable('Down.'))
            entries = [{**CHANGE, 'change_id': c} for c in change_ids[audit]]
            return {'changes': entries}

        fake = fakes.FakeTransport(transport.NoReply('timeout'), page)
        result = fakes.invoke(fake, 'apply', str(self.file), '--base', '4')
        self.assertEqual(expected_code, result.exit_code, result.output)
        sent = [(method, address) for address, method, _ in fake.sent]
        self.assertEqual([('PUT', fakes.ADDRESS), ('GET', fakes.OTHER)], sent)
        self.assertIn(expected_text, result.output)
