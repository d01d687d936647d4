"""Tests of one order to load weights."""

from __future__ import annotations

import unittest
from unittest import mock

from result import Err, Ok

from crocuswick.errors import PeerError
from crocuswick.rollouts import weights_load
from crocuswick.rollouts.engine_orders import (
    EngineReport,
    OrderResponse,
    WeightsOrder,
)
from crocuswick.rollouts.weights_load import NO_REPORT_TIMEOUT_S, WeightsLoad

ORDER = WeightsOrder(
    model="m", version=2, holder="one", fencing_token=0, expected_orders=0
)
NO_REPORT = Err(PeerError(step="report", peer="engine", detail="timed out"))


def report(version):
    return Ok(
        EngineReport(
            weights_by_model={"m": version},
            is_busy=version < ORDER.version,
            orders=1,
            running=0,
            queued=0,
        )
    )


class Engine:
    """Responds to an order, and to reports in turn; the last one is repeated."""

    def __init__(self, response, reports):
        self.response = response
        self.reports = reports
        self.read = 0

    def order(self, _replica, _order):
        return self.response

    def report(self, _replica):
        self.read += 1
        return self.reports[min(self.read, len(self.reports)) - 1]


class WeightsLoadTests(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        clock = mock.patch.object(weights_load, "time", self)
        clock.start()
        self.addCleanup(clock.stop)

    def monotonic(self):
        return self.now_s

    def sleep(self, pause_s):
        self.now_s += pause_s

    def run_load(self, engine):
        return WeightsLoad(
            orders=engine,
            replica=mock.Mock(),
            order=ORDER,
            on_busy=lambda: None,
        ).run()

    def test_an_accepted_order_is_tracked_although_a_report_fails(self):
        """Otherwise peers send requests to the engine while it loads, and the order is
        repeated."""
        engine = Engine(Ok(OrderResponse.ACCEPTED), [NO_REPORT, report(1), report(2)])
        self.assertTrue(self.run_load(engine).is_loaded)

    def test_an_engine_that_sends_no_more_reports_is_abandoned(self):
        """It may have crashed; others wait for its place."""
        engine = Engine(Ok(OrderResponse.ACCEPTED), [NO_REPORT])
        self.assertFalse(self.run_load(engine).is_loaded)
        self.assertLess(self.now_s, NO_REPORT_TIMEOUT_S + 0.5)

    def test_an_order_that_was_not_accepted_is_abandoned_at_the_first_error(self):
        engine = Engine(Ok(OrderResponse.CONFLICT), [NO_REPORT, report(2)])
        self.assertFalse(self.run_load(engine).is_loaded)
        self.assertEqual(engine.read, 1)
