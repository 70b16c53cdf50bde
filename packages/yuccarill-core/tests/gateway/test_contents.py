"""Test which requests have the same content digest."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.gateway import contents

FIRST = ('a.example', '/p?q', 'caller', b'body')


class ContentTest(unittest.TestCase):
    # Another request, whether it repeats FIRST.
    @params(
        (FIRST, True),
        (('A.example', '/p?q', 'caller', b'body'), True),
        (('b.example', '/p?q', 'caller', b'body'), False),
        (('a.example', '/p?r', 'caller', b'body'), False),
        (('a.example', '/p?q', 'other', b'body'), False),
        (('a.example', '/p?q', 'caller', b'bodies'), False),
        (('a.example', '/p?qc', 'aller', b'body'), False),
        (('a.example', '/p?q', 'callerb', b'ody'), False),
    )
    def test_repeats(
        self, other: tuple[str, str, str, bytes], is_repeat: bool
    ) -> None:
        found = contents.digest(*FIRST) == contents.digest(*other)
        self.assertEqual(is_repeat, found)
