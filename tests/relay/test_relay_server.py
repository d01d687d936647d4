"""Tests of the server for callers whose requests are relayed."""

from __future__ import annotations

import threading
import unittest
from unittest import mock

from crocuswick.platform.relay_dialect import RelayDialect
from crocuswick.relay.relay_server import RelayServer
from crocuswick.relay.serving import CallerLimits
from tests.platform.deployment import request
from tests.platform.node_process import RawCaller
from tests.ports import stable_ports


class RelayServerTests(unittest.TestCase):
    def test_a_connection_that_is_not_accepted_yet_survives_the_closing_of_the_port(
        self,
    ):
        """During a planned stop under load, the thread that accepts connections is late.
        Closing the port would reset those that callers have just opened."""
        address = f"127.0.0.1:{stable_ports(1)[0]}"
        server = RelayServer(
            address=address,
            context=mock.Mock(dialect=RelayDialect()),
            watch=mock.Mock(),
            configuration=lambda: None,
            threads=4,
        )
        server.set_limits(CallerLimits())
        server._server.prepare()
        caller = RawCaller(address)
        caller.send(request("/lookup/1"))
        late = threading.Timer(0.2, server._thread.start)
        late.start()
        self.addCleanup(server.stop)
        server.stop_accepting()
        answer = caller.receive_all()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
