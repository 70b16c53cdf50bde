from __future__ import annotations

import socket
import unittest
from unittest import mock

from yuccarill.standins import ports


class PortsTest(unittest.TestCase):
    def test_nobody_else_chooses_a_chosen_port(self) -> None:
        # Two fleets start side by side and draw the same port, before
        # either has a process that listens on it. The second draws again.
        (first,) = ports.free(1)
        draws = mock.Mock()
        draws.randint.side_effect = [first, first - 1, *range(20_000, 20_100)]
        with mock.patch.object(ports, '_source', draws):
            (second,) = ports.free(1)
        self.assertNotEqual(first, second)

    def test_chosen_port_can_be_listened_on(self) -> None:
        (port,) = ports.free(1)
        with socket.create_server((ports.LOOPBACK, port)) as server:
            self.assertEqual(server.getsockname()[1], port)
