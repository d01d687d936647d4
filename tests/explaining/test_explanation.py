"""Tests of the likely causes found in logs."""

from __future__ import annotations

import json
import unittest
from pathlib import Path

from crocuswick.explaining import explain_request, read_log_lines

EXCERPTS = Path(__file__).parent / "days"
"""Log excerpts of bench runs with known injected faults."""


def line(t, event, node="n1", **fields) -> str:
    return json.dumps({"t": t, "node": node, "event": event, **fields})


def attempt(t, result, *, request="r", replica="x", node="n1", error="") -> str:
    return line(
        t,
        "attempt ended",
        node,
        request=request,
        replica=replica,
        result=result,
        error=error,
    )


def ended(t, outcome, detail="", request="r") -> str:
    return line(t, "request ended", request=request, outcome=outcome, detail=detail)


class ExplanationTests(unittest.TestCase):
    def cause(self, *texts, request="r"):
        return explain_request(read_log_lines(texts), request).cause

    def test_a_request_that_no_line_names_is_not_explained(self):
        self.assertIsNone(explain_request(read_log_lines([ended(1, "answered")]), "x"))

    def test_a_crash_fails_attempts_of_other_nodes_at_the_replica(self):
        cause = self.cause(
            attempt(10.0, "failed", error="closed"),
            ended(10.0, "broken off"),
            attempt(10.1, "failed", request="other", node="n2"),
        )
        self.assertIn("x crashed", cause.text)
        self.assertIn("1 others failed at the same time", cause.evidence[0])

    def test_a_lost_answer_is_distinguished_from_a_crash(self):
        cause = self.cause(
            attempt(10.0, "failed", error="reset"),
            ended(10.0, "failed"),
            attempt(10.4, "answered", request="other"),
        )
        self.assertIn("went on with other requests", cause.text)

    def test_overload_names_replicas_lost_before(self):
        cause = self.cause(
            attempt(9.0, "unreachable", request="other", replica="y"),
            ended(10.0, "refused", "its first event is expected after 900 ms"),
        )
        self.assertIn("overload", cause.text)
        self.assertIn("1 replicas were lost", cause.text)
        self.assertIn("y", cause.evidence[0])

    def test_a_request_with_a_segment_that_crashes_replicas(self):
        """Guards against an explanation that finds no replica usable."""
        crash = {"event": "crash attributed", "replica": "x@1", "source": "own"}
        cause = self.cause(
            line(8.0, **crash, segments=["m/a", "m/c4"]),
            line(9.0, **crash, segments=["m/b"]),
            ended(
                10.0,
                "refused",
                "Requests with the prompt segment m/c4 crashed x@1, y@1; requests with "
                "it will not be run.",
            ),
        )
        self.assertIn("m/c4", cause.text)
        self.assertEqual(cause.evidence, ("x@1 crashed at 8.0, known at n1",))

    def test_a_silent_replica(self):
        cause = self.cause(attempt(10.0, "silent"), ended(10.0, "failed"))
        self.assertIn("answered nobody after that", cause.text)

    def test_a_replica_that_fell_silent_within_its_answer(self):
        """Guards against a text that says a begun stream had received nothing."""
        silent = line(
            10.0,
            "attempt ended",
            request="r",
            replica="x",
            result="silent",
            begun_ms=40,
            events=3,
            last_event_ms=90,
        )
        text = self.cause(silent, ended(10.0, "broken off")).text
        self.assertIn("3 events, the last one after 90 ms", text)
        self.assertNotIn("sent nothing before", text)

    def test_a_request_without_an_end(self):
        self.assertIn("no node wrote the end", self.cause(attempt(1, "failed")).text)

    def test_a_request_that_was_refused_before_routing(self):
        text = line(1, "request refused", request="r", status=401, detail="no key")
        self.assertIn("status 401", self.cause(text).text)

    def test_an_answered_retry_mentions_the_failed_attempt(self):
        cause = self.cause(
            attempt(1.0, "failed"),
            attempt(1.2, "answered", replica="y"),
            ended(1.2, "answered"),
        )
        self.assertIn("after 1 failed attempts", cause.text)

    def test_a_caller_that_left(self):
        self.assertIn("closed its connection", self.cause(ended(1, "caller left")).text)

    def test_text_that_log_collectors_add_is_ignored(self):
        log = read_log_lines(
            ["  4.1 node-1 " + ended(2, "answered"), "no object", '{"t": 1', ""]
        )
        self.assertEqual((len(log.lines), log.unreadable), (1, 1))

    def test_lines_that_nodes_dropped_are_counted(self):
        log = read_log_lines([line(1, "started", dropped=7)])
        self.assertEqual(log.dropped, 7)


class RecordedRunTests(unittest.TestCase):
    """Explanations of log excerpts from bench runs with known injected faults."""

    def explain(self, name, request):
        with (EXCERPTS / f"{name}.log").open() as file:
            return explain_request(read_log_lines(file), request)

    def test_engines_that_crash_at_four_seconds(self):
        found = self.explain("engine-crash", "a1e107d25515e1db")
        self.assertIn("i-a302f092b9 crashed", found.cause.text)
        self.assertEqual(found.lines[-1].node, "edge-nyarugenge-2")
        json.dumps(found.json_value())

    def test_a_refusal_under_overload(self):
        found = self.explain("overload", "13e1605d83d0d120")
        self.assertIn("overload", found.cause.text)
        self.assertIn("likely cause: overload", "\n".join(found.text_lines()))
