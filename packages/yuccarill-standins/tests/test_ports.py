from __future__ import annotations

import socket
import unittest
from unittest import mock

from yuccarill.standins import ports


class PortsTest(unittest.TestCase):
    def test_reserved_port_is_not_reserved_again(self) -> None:
        # Guards against two concurrent test runs that reserve the same port.
        (first,) = ports.reserve(1)
        random_source = mock.Mock()
        random_source.randint.side_effect = [
            first,
            first - 1,
            *range(20_000, 20_100),
        ]
        with mock.patch.object(ports, '_random', random_source):
            (second,) = ports.reserve(1)
        self.assertNotEqual(first, second)

    def test_reserved_port_accepts_a_listener(self) -> None:
        (port,) = ports.reserve(1)
        with socket.create_server((ports.LOOPBACK, port)) as server:
            self.assertEqual(server.getsockname()[1], port)
