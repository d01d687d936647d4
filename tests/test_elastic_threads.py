"""Tests of threads that are started when there is work and end when there is none."""

from __future__ import annotations

import threading
import time
import unittest

from crocuswick.elastic_threads import ElasticThreads

NAME = "elastic-test"
TIMEOUT_S = 5.0


def count():
    return sum(thread.name == NAME for thread in threading.enumerate())


class ElasticThreadsTests(unittest.TestCase):
    def setUp(self):
        self.threads = ElasticThreads(name=NAME, max_threads=20, idle_s=0.2)
        self.addCleanup(self.threads.stop, TIMEOUT_S)

    def wait_for(self, condition):
        deadline_s = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.005)

    def test_calls_at_the_same_time_each_get_a_thread_at_once(self):
        """Callers that return together after a mass kill must not wait for each other."""
        barrier = threading.Barrier(21)
        for _ in range(20):
            self.threads.submit(barrier.wait, TIMEOUT_S)
        barrier.wait(TIMEOUT_S)

    def test_further_calls_wait_for_a_thread(self):
        release = threading.Event()
        done = []
        for number in range(30):
            self.threads.submit(lambda n=number: (release.wait(), done.append(n)))
        self.wait_for(lambda: self.threads.queued == 10)
        self.assertEqual(count(), 20)
        release.set()
        self.wait_for(lambda: len(done) == 30)

    def test_idle_threads_end(self):
        self.assertEqual(count(), 0)
        for _ in range(10):
            self.threads.submit(time.sleep, 0.02)
        self.assertGreater(count(), 1)
        self.wait_for(lambda: count() == 0)
        done = threading.Event()
        self.threads.submit(done.set)
        self.assertTrue(done.wait(TIMEOUT_S))

    def test_calls_one_after_the_other_share_a_thread(self):
        for _ in range(20):
            done = threading.Event()
            self.threads.submit(done.set)
            self.assertTrue(done.wait(TIMEOUT_S))
            self.wait_for(lambda: self.threads.idle)
        self.assertEqual(count(), 1)

    def test_a_call_that_fails_does_not_end_the_others(self):
        done = threading.Event()
        for _ in range(25):
            self.threads.submit(lambda: 1 / 0)
        self.threads.submit(done.set)
        self.assertTrue(done.wait(TIMEOUT_S))

    def test_stopping_waits_for_calls_in_progress(self):
        done = []
        begun = threading.Event()
        self.threads.submit(lambda: (begun.set(), time.sleep(0.1), done.append(1)))
        begun.wait(TIMEOUT_S)
        self.assertTrue(self.threads.stop(TIMEOUT_S))
        self.assertEqual(done, [1])
        self.threads.submit(done.append, 2)
        self.assertEqual(done, [1])

    def test_no_call_is_lost_under_contention(self):
        """A thread that is about to end must not be counted as waiting for a call."""
        threads = ElasticThreads(name=NAME, max_threads=4, idle_s=0.001)
        self.addCleanup(threads.stop, TIMEOUT_S)
        done = []
        for number in range(2_000):
            threads.submit(done.append, number)
            if number % 50 == 0:
                time.sleep(0.002)
        self.wait_for(lambda: len(done) == 2_000)
