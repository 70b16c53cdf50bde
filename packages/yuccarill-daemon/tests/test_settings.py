"""Test the check of settings."""

from __future__ import annotations

import unittest

from yuccarill.core import errors
from yuccarill.daemon import settings


class SettingsTest(unittest.TestCase):
    def test_all_faults_are_named_at_once(self) -> None:
        wrong = settings.Settings(
            instance='i',
            data_centre='a',
            host='localhost',
            http_port=0,
            peer_port=8200,
            key_value='127.0.0.1:1',
            instance_list='127.0.0.1',
            weight_store='127.0.0.1:1',
        )
        with self.assertRaises(errors.SettingsInvalid) as caught:
            settings.check(wrong)
        faults = caught.exception.message.splitlines()
        flags = [fault.split(':')[0] for fault in faults]
        self.assertEqual(['--host', '--instance-list', '--http-port'], flags)
