"""Tests of counters that many threads increment."""

from __future__ import annotations

import sys
import threading
import unittest

from crocuswick.metrics import Metrics

THREADS = 8
INCREMENTS_PER_THREAD = 5000


class MetricsTests(unittest.TestCase):
    def test_concurrent_increments_are_not_lost(self):
        self.addCleanup(sys.setswitchinterval, sys.getswitchinterval())
        sys.setswitchinterval(1e-5)
        metrics = Metrics(node_id="n")

        def increment() -> None:
            for _ in range(INCREMENTS_PER_THREAD):
                metrics.requests.inc({"route": "a", "status": "200"})
                metrics.record_prefill(prompt_tokens=3, cached_tokens=0)

        threads = [threading.Thread(target=increment) for _ in range(THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            metrics.render()
            thread.join()
        body = metrics.render()[0].decode()
        values = [line.rpartition(" ")[2] for line in body.splitlines()]
        self.assertIn(str(THREADS * INCREMENTS_PER_THREAD), values)
        self.assertIn(str(3 * THREADS * INCREMENTS_PER_THREAD), values)
