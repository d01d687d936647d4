"""Parsing of the scenario language, and the positions of its errors."""

from __future__ import annotations

import unittest

from tests.scenarios.language import (
    At,
    Every,
    Expectation,
    Named,
    ScenarioError,
    Some,
    When,
    parse,
)

HEADER = """name: some-name
tab: some-tab
property: whole-stream
"""

VALID_SCENARIO = (
    HEADER
    + """
# A comment before the first statement.
start 3 zones, 3 nodes, 4 engines with decode_ms 5, rate 0.5
send completions from 6 callers for 5s with blocks 3, tokens 24  # and at an end
at 1s to 2.5s kill one engine as victim
at 3s start the victim
when 20 answers freeze 2 nodes for 1.5s
at 1s set the log for 2s with outage silent, lose_answers 0.5
at 1s restart every node
expect answered at least 95%
expect resumed at most 3
hold own-answer, not-run
hold configuration
"""
)


class LanguageTests(unittest.TestCase):
    def assert_fault(self, text: str, line: int, column: int, detail: str) -> None:
        with self.assertRaises(ScenarioError) as caught:
            parse(text, source_name="x.scenario")
        error = caught.exception
        self.assertIn(detail, error.detail)
        self.assertEqual((error.line, error.column), (line, column), str(error))
        self.assertTrue(str(error).startswith(f"x.scenario:{line}:{column}: "))

    def test_headers(self):
        scenario = parse(VALID_SCENARIO)
        self.assertEqual(
            (scenario.name, scenario.tab, scenario.property_name),
            ("some-name", "some-tab", "whole-stream"),
        )

    def test_start_and_traffic(self):
        scenario = parse(VALID_SCENARIO)
        self.assertEqual(scenario.counts_by_kind, {"zone": 3, "node": 3, "engine": 4})
        self.assertEqual(scenario.start_options, {"decode_ms": 5, "rate": 0.5})
        [send] = scenario.sends
        self.assertEqual((send.kind, send.callers, send.for_s), ("completions", 6, 5.0))
        self.assertEqual(send.options, {"blocks": 3, "tokens": 24})

    def test_events(self):
        kill, start, freeze, set_log, restart = parse(VALID_SCENARIO).events
        self.assertEqual(kill.trigger, At(first_s=1.0, last_s=2.5))
        self.assertEqual(kill.action.target, Some(count=1, kind="engine"))
        self.assertEqual(kill.action.alias, "victim")
        self.assertEqual(kill.line, 8)
        self.assertEqual(start.action.target, Named(name="victim"))
        self.assertEqual(freeze.trigger, When(count=20, counter="answers"))
        self.assertEqual(freeze.action.target, Some(count=2, kind="node"))
        self.assertEqual(freeze.action.for_s, 1.5)
        self.assertEqual(
            set_log.action.options, {"outage": "silent", "lose_answers": 0.5}
        )
        self.assertEqual(restart.action.target, Every(kind="node"))

    def test_expectations(self):
        scenario = parse(VALID_SCENARIO)
        self.assertEqual(
            scenario.expectations,
            (
                Expectation(measure="answered", at_least=True, amount=0.95),
                Expectation(measure="resumed", at_least=False, amount=3),
            ),
        )
        self.assertEqual(
            scenario.held_properties, ("own-answer", "not-run", "configuration")
        )

    def test_missing_header(self):
        text = "name: x\ntab: y\nstart 1 node\n"
        self.assert_fault(text, 1, 1, "header property is missing")

    def test_unknown_property_in_header(self):
        text = "name: x\ntab: y\nproperty: beauty\nstart 1 node\n"
        self.assert_fault(text, 3, 11, "unknown property beauty")

    def test_unknown_words(self):
        cases = {
            "start 2 ships\n": (4, 9, "unknown part ship"),
            "start 1 node\nsend letters from 1 callers for 1s\n": (5, 6, "traffic"),
            "start 1 node\nat 1s hug one node\n": (5, 7, "unknown action hug"),
            "start 1 node\nat 1s kill the mate\n": (5, 16, "unknown name mate"),
            "start 1 node\nwhen 2 sighs kill one node\n": (5, 8, "counter sighs"),
            "start 1 node\nexpect joy at least 1\n": (5, 8, "unknown measure joy"),
            "start 1 node\nhold beauty\n": (5, 6, "unknown property beauty"),
            "start 1 node\nsend bookings from 1 callers for 1s with x 1\n": (
                5,
                42,
                "unknown option x",
            ),
        }
        for text, (line, column, detail) in cases.items():
            with self.subTest(text):
                self.assert_fault(HEADER + text, line, column, detail)

    def test_grammar_faults_say_what_was_expected(self):
        self.assert_fault(HEADER + "start nodes\n", 4, 7, "whole number")
        self.assert_fault(
            HEADER + "start 1 node\nat soon kill one node\n", 5, 4, "a time such as"
        )

    def test_times_in_wrong_order(self):
        text = HEADER + "start 1 node\nat 2s to 1s kill one node\n"
        self.assert_fault(text, 5, 10, "before the first")

    def test_exactly_one_start(self):
        text = HEADER + "start 1 node\nstart 1 node\n"
        self.assert_fault(text, 3, 1, "exactly one start")

    def test_alias_only_after_its_event(self):
        text = HEADER + "start 1 node\nat 1s start the a\nat 2s kill one node as a\n"
        self.assert_fault(text, 5, 17, "unknown name a")


if __name__ == "__main__":
    unittest.main()
