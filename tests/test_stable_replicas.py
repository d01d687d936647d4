"""Tests for how long a replica must be ready before others may load."""

from __future__ import annotations

import unittest

from crocuswick.stable_replicas import MIN_READY_S, StableReplicas


class StableReplicasTests(unittest.TestCase):
    def test_replica_is_stable_after_the_minimum_time_with_the_same_weights(self):
        replicas = StableReplicas()
        self.assertFalse(replicas.is_stable("a", {"m": "v1"}, 0.0))
        self.assertTrue(replicas.is_stable("a", {"m": "v1"}, MIN_READY_S))
        self.assertFalse(replicas.is_stable("a", {"m": "v2"}, MIN_READY_S))

    def test_time_restarts_after_the_replica_was_not_ready(self):
        replicas = StableReplicas()
        replicas.is_stable("a", {"m": "v1"}, 0.0)
        replicas.remove("a")
        self.assertFalse(replicas.is_stable("a", {"m": "v1"}, MIN_READY_S))
