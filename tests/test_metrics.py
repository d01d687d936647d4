"""Tests of counters that many threads add to."""

from __future__ import annotations

import sys
import threading
import unittest

from crocuswick.metrics import Metrics

THREADS = 8
COUNTS = 5000


class MetricsTests(unittest.TestCase):
    def test_no_count_is_lost_among_threads(self):
        self.addCleanup(sys.setswitchinterval, sys.getswitchinterval())
        sys.setswitchinterval(1e-5)
        metrics = Metrics(node_id="n")

        def count() -> None:
            for _ in range(COUNTS):
                metrics.requests.inc({"route": "a", "status": "200"})
                metrics.note_prefill(prompt_tokens=3, cached_tokens=0)

        threads = [threading.Thread(target=count) for _ in range(THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            metrics.render()
            thread.join()
        body = metrics.render()[0].decode()
        values = [line.rpartition(" ")[2] for line in body.splitlines()]
        self.assertIn(str(THREADS * COUNTS), values)
        self.assertIn(str(3 * THREADS * COUNTS), values)
