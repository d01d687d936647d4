"""Tests of the placement of large prompts by all nodes of a fleet."""

from __future__ import annotations

import unittest

from tests.relay.fleet_model import FleetModel, Stream, Totals

NODES_BY_ZONE = {"a": 20, "b": 16, "c": 18, "d": 15}
ENGINES = 29
GOAL_S = 0.863
SHARED = Stream(per_second=46, duration_s=10, segments=601)
"""Many shared segments, of which each node places few prompts a second: about two
thirds of the engines' capacity if every prompt is computed completely."""


def play(stream: Stream, nodes_by_zone=NODES_BY_ZONE) -> Totals:
    return FleetModel(nodes_by_zone=nodes_by_zone, engines=ENGINES).play(stream)


class FleetPlacementTests(unittest.TestCase):
    def check_like_one_node(self, stream: Stream):
        """Check that a fleet places a stream about as well as a node that sees all."""
        fleet, one = play(stream), play(stream, {"a": 1})
        self.assertLessEqual(fleet.recomputed_tokens, 1.25 * one.recomputed_tokens)
        self.assertGreaterEqual(fleet.in_time(GOAL_S), one.in_time(GOAL_S) - 0.02)
        self.assertLessEqual(fleet.spread(), 1.25 * one.spread())

    def test_prompts_spread_over_many_nodes_are_placed_as_by_one_node(self):
        """Guards against segments that are computed again, and queues at busy engines,
        because a node isn't notified of most prompts of other zones."""
        self.check_like_one_node(SHARED)

    def test_a_hot_segment_is_placed_as_by_one_node(self):
        """Guards against the same with one segment in a third of the prompts."""
        self.check_like_one_node(
            Stream(per_second=46, duration_s=10, segments=601, hot_share=0.33)
        )

    def test_nodes_that_choose_at_the_same_moment_do_not_all_choose_one_engine(self):
        """Pattern: places raced for. 195 nodes place the prompts of a large fleet, and
        each is notified of the others' choices 30 ms later. Guards against queues at
        the engine that looked least loaded to all of them."""
        zones = dict.fromkeys("abcde", 39)
        stream = Stream(per_second=39.1, duration_s=10, segments=601)

        def in_time(delay_s):
            model = FleetModel(nodes_by_zone=zones, engines=32, gossip_delay_s=delay_s)
            return model.play(stream).in_time(0.632)

        self.assertGreaterEqual(in_time(0.03), in_time(0.0) - 0.05)


if __name__ == "__main__":
    unittest.main()
