"""Tests of the merge of time lines and of its renderings."""

from __future__ import annotations

import json
import random
import unittest
from xml.etree import ElementTree

from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.time_line import EventId, TimeLineEvent
from crocuswick.time_line_merge import EventOrder, merge_events, related_events
from crocuswick.time_line_render import render_json, render_page, render_text
from crocuswick.time_line_svg import render_svg


def event(node, sequence, at_us, *, error_us=10, cause=None, subject="", kind="k"):
    """Return an event recorded at a time of its node's clock."""
    return TimeLineEvent(
        id=EventId(node_id=node, incarnation=1, sequence=sequence),
        earliest_us=at_us - error_us,
        latest_us=at_us + error_us,
        kind=kind,
        subject=subject,
        cause=cause.id if cause else None,
    )


def order_after_merge(*events):
    """Return the order of the first two events after a merge of all."""
    time_line = merge_events(events)
    merged_by_id = {merged.id: merged for merged in time_line.events}
    first, second = (merged_by_id[item.id] for item in events[:2])
    return time_line.order(first, second)


class OrderTests(unittest.TestCase):
    def test_order_of_overlapping_intervals_is_uncertain(self):
        self.assertIs(
            order_after_merge(event("a", 0, 100), event("b", 0, 115)),
            EventOrder.UNCERTAIN,
        )
        self.assertIs(
            order_after_merge(event("a", 0, 100), event("b", 0, 121)), EventOrder.BEFORE
        )
        self.assertIs(
            order_after_merge(event("a", 0, 121), event("b", 0, 100)), EventOrder.AFTER
        )

    def test_causes_take_precedence_over_clocks(self):
        cause = event("a", 0, 500)
        effect = event("b", 0, 100, cause=cause)
        self.assertIs(order_after_merge(cause, effect), EventOrder.BEFORE)
        broken = merge_events([cause, effect]).broken_clocks
        self.assertEqual([item.excess_us for item in broken], [380])

    def test_intervals_of_a_contradicting_clock_are_not_used(self):
        ahead = [event("a", number, 500 + number) for number in range(3)]
        effects = [
            event(node, 0, 100, cause=cause)
            for node, cause in zip("bcd", ahead, strict=True)
        ]
        late = event("e", 0, 300)
        self.assertIs(
            order_after_merge(late, ahead[2], *ahead, *effects), EventOrder.AFTER
        )
        time_line = merge_events([*ahead, *effects, late])
        self.assertEqual(time_line.distrusted_nodes, ("a",))

    def test_causes_are_transitive(self):
        first = event("a", 0, 100)
        middle = event("b", 0, 100, cause=first)
        later = event("b", 1, 100)
        last = event("c", 0, 100, cause=later)
        self.assertIs(order_after_merge(first, last, middle, later), EventOrder.BEFORE)

    def test_cause_narrows_intervals_for_third_events(self):
        cause = event("a", 0, 120)
        effect = event("b", 0, 100, error_us=40, cause=cause)
        third = event("c", 0, 100, error_us=5)
        self.assertIs(order_after_merge(third, effect), EventOrder.UNCERTAIN)
        self.assertIs(order_after_merge(third, effect, cause), EventOrder.BEFORE)

    def test_missing_cause_is_ignored(self):
        dropped = event("a", 0, 100)
        kept = event("b", 0, 100, cause=dropped)
        self.assertEqual(len(merge_events([kept]).events), 1)

    @settings(max_examples=60, deadline=None)
    @given(data=st.data(), seed=st.integers(0, 2**16))
    def test_certain_order_is_correct_within_the_clock_error_bound(self, data, seed):
        rng = random.Random(seed)
        error_us = 50
        skews = {node: rng.randint(-error_us, error_us) for node in "abcd"}
        recorded = []
        for true_us in sorted(
            data.draw(st.lists(st.integers(0, 500), max_size=14, unique=True))
        ):
            node = rng.choice("abcd")
            cause = rng.choice([None, *recorded])
            sequence = sum(item.id.node_id == node for item in recorded)
            at_us = true_us + skews[node]
            recorded.append(event(node, sequence, at_us, error_us=50, cause=cause))
        true_positions_by_id = {
            item.id: position for position, item in enumerate(recorded)
        }
        rng.shuffle(recorded)
        time_line = merge_events(recorded)
        self.assertEqual(len(time_line.events), len(recorded))
        self.assertEqual(time_line.broken_clocks, ())
        for position, first in enumerate(time_line.events):
            for second in time_line.events[position + 1 :]:
                order = time_line.order(first, second)
                if order is not EventOrder.UNCERTAIN:
                    self.assertIs(order, EventOrder.BEFORE)
                    self.assertLess(
                        true_positions_by_id[first.id], true_positions_by_id[second.id]
                    )


class RelatedEventsTests(unittest.TestCase):
    def test_causes_and_effects_of_a_request_are_related(self):
        configured = event("a", 0, 1, kind="configured")
        taken = event("a", 1, 2, subject="r1", cause=configured)
        sent = event("b", 0, 1, cause=taken)
        other = event("b", 1, 3, subject="r2")
        related_ids = {
            item.id for item in related_events([sent, other, taken, configured], "r1")
        }
        self.assertEqual(related_ids, {configured.id, taken.id, sent.id})


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

    def test_svg_is_well_formed_and_has_every_event(self):
        root = ElementTree.fromstring(render_svg(self.time_line))
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
