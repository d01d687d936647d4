"""Tests of how long a replica must be ready before others may load."""

from __future__ import annotations

import unittest

from crocuswick.settled_replicas import MIN_READY_S, StableReplicas


class SettledReplicasTests(unittest.TestCase):
    def test_settles_after_the_time_and_begins_anew_with_other_weights(self):
        settled = StableReplicas()
        self.assertFalse(settled.is_stable("a", {"m": "v1"}, 0.0))
        self.assertTrue(settled.is_stable("a", {"m": "v1"}, MIN_READY_S))
        self.assertFalse(settled.is_stable("a", {"m": "v2"}, MIN_READY_S))

    def test_begins_anew_after_it_was_not_ready(self):
        settled = StableReplicas()
        settled.is_stable("a", {"m": "v1"}, 0.0)
        settled.forget("a")
        self.assertFalse(settled.is_stable("a", {"m": "v1"}, MIN_READY_S))
