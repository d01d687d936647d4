"""Tests of the merge of time lines and of its renderings."""

from __future__ import annotations

import json
import random
import unittest
from xml.etree import ElementTree

from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.time_line import EventId, TimeLineEvent
from crocuswick.time_line_merge import Order, follow, merge_events
from crocuswick.time_line_picture import draw
from crocuswick.time_line_render import render_json, render_page, render_text


def event(node, sequence, at_us, *, error_us=10, cause=None, subject="", kind="k"):
    """Return an event whose node's clock shows a time."""
    return TimeLineEvent(
        id=EventId(node_id=node, incarnation=1, sequence=sequence),
        earliest_us=at_us - error_us,
        latest_us=at_us + error_us,
        kind=kind,
        subject=subject,
        cause=cause.id if cause else None,
    )


def orders(*events):
    """Return the merge's verdict on the first two of some events."""
    time_line = merge_events(events)
    merged_by_id = {merged.id: merged for merged in time_line.events}
    first, second = (merged_by_id[item.id] for item in events[:2])
    return time_line.order(first, second)


class OrderTests(unittest.TestCase):
    def test_intervals_that_overlap_leave_the_order_open(self):
        self.assertIs(orders(event("a", 0, 100), event("b", 0, 115)), Order.UNCERTAIN)
        self.assertIs(orders(event("a", 0, 100), event("b", 0, 121)), Order.BEFORE)
        self.assertIs(orders(event("a", 0, 121), event("b", 0, 100)), Order.AFTER)

    def test_cause_decides_whatever_the_clocks_say(self):
        cause = event("a", 0, 500)
        effect = event("b", 0, 100, cause=cause)
        self.assertIs(orders(cause, effect), Order.BEFORE)
        broken = merge_events([cause, effect]).broken_clocks
        self.assertEqual([item.excess_us for item in broken], [380])

    def test_intervals_of_a_contradicting_clock_are_not_used(self):
        ahead = [event("a", number, 500 + number) for number in range(3)]
        effects = [
            event(node, 0, 100, cause=cause)
            for node, cause in zip("bcd", ahead, strict=True)
        ]
        late = event("e", 0, 300)
        self.assertIs(orders(late, ahead[2], *ahead, *effects), Order.AFTER)
        time_line = merge_events([*ahead, *effects, late])
        self.assertEqual(time_line.distrusted_nodes, ("a",))

    def test_causes_reach_through_other_events(self):
        first = event("a", 0, 100)
        middle = event("b", 0, 100, cause=first)
        later = event("b", 1, 100)
        last = event("c", 0, 100, cause=later)
        self.assertIs(orders(first, last, middle, later), Order.BEFORE)

    def test_cause_narrows_intervals_for_third_events(self):
        cause = event("a", 0, 120)
        effect = event("b", 0, 100, error_us=40, cause=cause)
        third = event("c", 0, 100, error_us=5)
        self.assertIs(orders(third, effect), Order.UNCERTAIN)
        self.assertIs(orders(third, effect, cause), Order.BEFORE)

    def test_missing_cause_is_ignored(self):
        dropped = event("a", 0, 100)
        kept = event("b", 0, 100, cause=dropped)
        self.assertEqual(len(merge_events([kept]).events), 1)

    @settings(max_examples=60, deadline=None)
    @given(data=st.data(), seed=st.integers(0, 2**16))
    def test_no_certain_order_is_wrong_while_clocks_keep_their_bound(self, data, seed):
        randomness = random.Random(seed)
        error_us = 50
        skews = {node: randomness.randint(-error_us, error_us) for node in "abcd"}
        recorded = []
        for true_us in sorted(
            data.draw(st.lists(st.integers(0, 500), max_size=14, unique=True))
        ):
            node = randomness.choice("abcd")
            cause = randomness.choice([None, *recorded])
            sequence = sum(item.id.node_id == node for item in recorded)
            at_us = true_us + skews[node]
            recorded.append(event(node, sequence, at_us, error_us=50, cause=cause))
        truth = {item.id: place for place, item in enumerate(recorded)}
        randomness.shuffle(recorded)
        time_line = merge_events(recorded)
        self.assertEqual(len(time_line.events), len(recorded))
        self.assertEqual(time_line.broken_clocks, ())
        for place, first in enumerate(time_line.events):
            for second in time_line.events[place + 1 :]:
                order = time_line.order(first, second)
                if order is not Order.UNCERTAIN:
                    self.assertIs(order, Order.BEFORE)
                    self.assertLess(truth[first.id], truth[second.id])


class FollowTests(unittest.TestCase):
    def test_request_is_followed_with_causes_and_effects(self):
        configured = event("a", 0, 1, kind="configured")
        taken = event("a", 1, 2, subject="r1", cause=configured)
        sent = event("b", 0, 1, cause=taken)
        other = event("b", 1, 3, subject="r2")
        followed = {item.id for item in follow([sent, other, taken, configured], "r1")}
        self.assertEqual(followed, {configured.id, taken.id, sent.id})


class RenderTests(unittest.TestCase):
    def setUp(self):
        cause = event("a", 0, 1_000, kind="order_sent")
        effect = event("b", 0, 1_300, cause=cause, kind="<order> & co")
        unrelated = event("c", 0, 1_305, subject="engine-1")
        self.time_line = merge_events([cause, effect, unrelated])

    def test_text_marks_uncertain_order(self):
        lines = render_text(self.time_line).splitlines()
        self.assertEqual([line[0] for line in lines], [" ", " ", "~"])
        self.assertIn("[after a/1/0]", lines[1])

    def test_json_can_be_read_back(self):
        value = json.loads(render_json(self.time_line))
        certain = [item["order_with_previous"] for item in value["events"]]
        self.assertEqual(certain, ["certain", "certain", "uncertain"])

    def test_picture_is_well_formed_and_has_every_event(self):
        root = ElementTree.fromstring(draw(self.time_line))
        bars = root.findall(".//{http://www.w3.org/2000/svg}rect")
        self.assertEqual(len(bars), 3)

    def test_page_loads_nothing_and_escapes_names(self):
        page = render_page(self.time_line, title="A & B")
        self.assertNotIn("<order>", page)
        self.assertNotIn("src=", page)
        self.assertNotIn("href=", page)

    def test_empty_time_line_renders(self):
        empty = merge_events([])
        self.assertEqual(render_text(empty), "")
        self.assertIn("<svg", render_page(empty))
