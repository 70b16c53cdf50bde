"""Test reading settings, and docs/settings.md."""

from __future__ import annotations

import os
import pathlib
import re
import subprocess
import sys
import unittest

from nose2.tools import params

from yuccarill.core import errors
from yuccarill.daemon import setting_reader
from yuccarill.daemon import settings

PAGE = pathlib.Path(__file__).resolve().parents[3] / 'docs/settings.md'
VALID = {
    'instance': 'i',
    'data_centre': 'a',
    'host': '127.0.0.1',
    'http_port': '8100',
    'peer_port': '8200',
    'key_value': '127.0.0.1:1',
    'instance_list': '127.0.0.1:2',
    'weight_store': '127.0.0.1:3',
}


def _faults(text_by_name: dict[str, str]) -> list[str]:
    try:
        setting_reader.read(text_by_name)
    except errors.SettingsInvalid as error:
        return error.message.splitlines()
    return []


class SettingsTest(unittest.TestCase):
    def test_reads_valid_settings(self) -> None:
        read = setting_reader.read({**VALID, 'log_format': 'json'})
        self.assertEqual(8100, read.http_port)
        self.assertIs(settings.LogFormat.JSON, read.log_format)
        self.assertEqual(5.0, read.address_validity)

    @params(
        ('instance', 'a/b'),
        ('host', 'localhost'),
        ('host', '0.0.0.0'),
        ('host', '::1'),
        ('statsd', '[::1]:8125'),
        ('http_port', '0'),
        ('http_port', '8200'),
        ('peer_port', '65536'),
        ('peer_port', 'x'),
        ('key_value', '127.0.0.1'),
        ('instance_list', 'host:1'),
        ('weight_store', '127.0.0.1:'),
        ('statsd', '8125'),
        ('data_folder', '/nowhere'),
        ('log_format', 'xml'),
        ('log_level', 'loud'),
        ('address_validity', '0'),
        ('stop_timeout', 'nan'),
    )
    def test_refuses(self, name: str, text: str) -> None:
        (fault,) = _faults({**VALID, name: text})
        flag = '--' + name.replace('_', '-')
        self.assertTrue(fault.startswith(flag), fault)
        self.assertIn('; write ', fault)

    def test_names_all_faults_at_once(self) -> None:
        wrong = {**VALID, 'host': 'localhost', 'statsd': 'x'}
        del wrong['instance'], wrong['http_port']
        flags = [fault.split(' ')[0] for fault in _faults(wrong)]
        self.assertEqual(
            ['--instance', '--host', '--http-port', '--statsd'], flags
        )

    def test_warns_of_unknown_variables(self) -> None:
        names = ['YUCCARILL_HTTP_PRT', 'YUCCARILL_HOST', 'YUCCARILL_ADDRESS']
        (warning,) = setting_reader.unknown_variables([*names, 'HOME'])
        self.assertIn('did you mean YUCCARILL_HTTP_PORT?', warning)

    def test_page_lists_every_setting(self) -> None:
        rows = [setting.row for setting in setting_reader.all_settings()]
        listed = re.findall(r'^\| `--.*$', PAGE.read_text(), re.MULTILINE)
        self.assertEqual(rows, listed)

    @params(
        ({}, 0, 'The settings are valid.'),
        ({'YUCCARILL_PEER_PORT': 'x', 'YUCCARILL_HOST': 'y'}, 2, 'peer-port'),
    )
    def test_the_command_checks_flags_and_variables(
        self, changed: dict[str, str], code: int, expected: str
    ) -> None:
        variables = {
            f'YUCCARILL_{name.upper()}': text for name, text in VALID.items()
        }
        finished = subprocess.run(
            [sys.executable, '-m', 'yuccarill.daemon', '--check-settings'],
            env={**os.environ, **variables, **changed},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.assertEqual(code, finished.returncode, finished.stdout)
        self.assertIn(expected, finished.stdout)
