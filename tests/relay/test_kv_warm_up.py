"""Tests of reading caches when many nodes start together."""

from __future__ import annotations

import threading
import time
import unittest
from unittest import mock

from result import Ok

from crocuswick.elastic_threads import ElasticThreads
from crocuswick.relay.kv_warm_up import MAX_READERS, KvWarmUp, concurrent_reads
from tests.relay.samples import ENGINE, ENGINES, configuration, replica

CACHES = 32


class Reader:
    """Reader of cache events that notes which caches are read at the same time."""

    def __init__(self):
        self.order = []
        self.now = 0
        self.most = 0
        self.lock = threading.Lock()

    def read_newest(self, name, _address):
        with self.lock:
            self.order.append(name)
            self.now += 1
            self.most = max(self.most, self.now)
        time.sleep(0.01)
        with self.lock:
            self.now -= 1
        return Ok(())


class KvWarmUpTests(unittest.TestCase):
    def read_all(self, nodes, max_event_reads=12):
        """Let one of several nodes read all caches; return its reader."""
        reader = Reader()
        threads = ElasticThreads(name="warm-up-test", max_threads=8)
        self.addCleanup(threads.stop, 5.0)
        warm_up = KvWarmUp(
            events=reader,
            dispatcher=mock.Mock(),
            threads=threads,
            node_count=lambda: nodes,
            log=mock.Mock(),
        )
        for number in range(CACHES):
            warm_up.add_engine(replica(f"e{number}"))
        engine = mock.Mock(wraps=ENGINE, max_event_reads=max_event_reads)
        services = {"engines": mock.Mock(wraps=ENGINES, engine=engine)}
        warm_up.configure(configuration(services_by_name=services, kv_stores=()))
        deadline_s = time.monotonic() + 5.0
        while len(reader.order) < CACHES:
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.005)
        return reader

    def test_each_cache_is_read_once(self):
        reader = self.read_all(nodes=7)
        self.assertEqual(len(set(reader.order)), CACHES)
        self.assertLessEqual(reader.most, MAX_READERS)

    def test_nodes_that_start_together_stay_within_what_the_caches_hold(self):
        """Pattern: cold fleet after a mass kill. 195 nodes read 32 caches, each of which
        holds 12 reads at once and rejects the others."""
        for nodes in (7, 69, 88, 195):
            reads = concurrent_reads(caches=CACHES, max_event_reads=12, nodes=nodes)
            with self.subTest(nodes=nodes):
                self.assertLessEqual(nodes * reads, CACHES * 12)
        self.assertEqual(self.read_all(nodes=195).most, 1)

    def test_nodes_that_start_together_begin_with_different_caches(self):
        firsts = {self.read_all(nodes=195).order[0] for _ in range(8)}
        self.assertGreater(len(firsts), 2)
