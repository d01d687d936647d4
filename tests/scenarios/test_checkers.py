"""The checkers accept valid histories and report the violation in invalid ones."""

from __future__ import annotations

import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.block_key import BLOCK_BYTES, BLOCK_TOKENS, block_keys, cache_salt
from tests.scenarios.checkers import check, checkers_by_property
from tests.scenarios.history import (
    Booking,
    Completion,
    ConfigurationObservation,
    Cut,
    Ending,
    EndpointLeaving,
    EngineLifetime,
    EngineRun,
    History,
    Interval,
    KvImport,
    NodeLifetime,
    NodeShutdown,
    ServiceRun,
    Submission,
)

PROMPT = "p" * (2 * BLOCK_BYTES)
SALT = cache_salt(organisation="org-1", model="m", weights_version="v1")


def span(start_s: float, end_s: float) -> Interval:
    return Interval(start_s=start_s, end_s=end_s)


def completion(**changes) -> Completion:
    fields = {
        "interval": span(1.0, 2.0),
        "request_id": "r1",
        "organisation": "org-1",
        "model": "m",
        "prompt": PROMPT,
        "expected_text": " one two",
        "node": "node-1",
        "ending": Ending.DONE,
        "status": 200,
        "text": " one two",
        "event_indexes": (0, 1),
        "finish_reason": "length",
        "first_token_s": 1.2,
    }
    return Completion(**(fields | changes))


def booking(**changes) -> Booking:
    fields = {
        "interval": span(1.0, 2.0),
        "request_id": "b1",
        "organisation": "org-1",
        "key": "k1",
        "seat": "s1",
        "node": "node-1",
        "ending": Ending.DONE,
        "status": 201,
        "booking": "booking-1",
        "booked_seat": "s1",
    }
    return Booking(**(fields | changes))


def service_run(**changes) -> ServiceRun:
    fields = {
        "interval": span(1.4, 1.5),
        "service": "service-1",
        "key": "k1",
        "seat": "s1",
        "booking": "booking-1",
    }
    return ServiceRun(**(fields | changes))


def engine_run(**changes) -> EngineRun:
    fields = {
        "interval": span(1.1, 1.9),
        "engine": "engine-1",
        "incarnation": "i1",
        "request_id": "r1",
        "prompt": PROMPT,
        "cache_salt": SALT,
        "model": "m",
        "weights_version": "v1",
        "served_version": "v1",
        "cached_tokens": 0,
    }
    return EngineRun(**(fields | changes))


def submission(revision: int | None, start_s: float, **changes) -> Submission:
    fields = {
        "interval": span(start_s, start_s + 0.5),
        "submitter": "operator-1",
        "digest": f"d{revision}",
        "accepted": True,
        "revision": revision,
    }
    return Submission(**(fields | changes))


def observed(revision: int, at_s: float, **changes) -> ConfigurationObservation:
    fields = {
        "interval": span(at_s, at_s + 0.01),
        "node": "node-1",
        "revision": revision,
        "digest": f"d{revision}",
    }
    return ConfigurationObservation(**(fields | changes))


class CheckerCase(unittest.TestCase):
    def assert_holds(self, property_name: str, *records) -> None:
        verdict = check(property_name, History(records=records))
        self.assertEqual(verdict.violations, ())
        self.assertTrue(verdict.holds, "nothing was examined")

    def assert_violation(self, property_name: str, reason: str, *records) -> None:
        verdict = check(property_name, History(records=records))
        reasons = [violation.reason for violation in verdict.violations]
        self.assertTrue(any(reason in item for item in reasons), reasons)
        self.assertFalse(verdict.holds)


class RegistryTests(CheckerCase):
    def test_no_property_holds_for_an_empty_history(self):
        for property_name in checkers_by_property:
            with self.subTest(property_name):
                self.assertFalse(check(property_name, History()).holds)

    def test_there_is_a_checker_for_each_of_the_nine_properties(self):
        self.assertEqual(len(checkers_by_property), 9)


class CacheIsolationTests(CheckerCase):
    name = "cache-isolation"

    def reuse(self, **changes) -> EngineRun:
        fields = {"interval": span(3.0, 4.0), "request_id": "r2"}
        return engine_run(**(fields | {"cached_tokens": BLOCK_TOKENS} | changes))

    def test_reuse_of_a_block_computed_by_the_same_incarnation(self):
        self.assert_holds(self.name, engine_run(), self.reuse())

    def test_reuse_of_a_dead_incarnations_block(self):
        self.assert_violation(
            self.name, "never computed", engine_run(), self.reuse(incarnation="i2")
        )

    def test_reuse_of_a_block_stored_only_later(self):
        later = engine_run(interval=span(5.0, 6.0), request_id="r3")
        self.assert_violation(self.name, "never computed", self.reuse(), later)

    def test_reuse_across_organisations_by_salt(self):
        callers = completion(request_id="r2", organisation="org-2")
        self.assert_violation(
            self.name, "another organisation", engine_run(), self.reuse(), callers
        )

    def test_reuse_of_more_blocks_than_the_prompt_has(self):
        big = self.reuse(cached_tokens=3 * BLOCK_TOKENS)
        self.assert_violation(self.name, "more blocks", engine_run(), big)

    def test_older_weights(self):
        old = self.reuse(served_version="v0")
        self.assert_violation(self.name, "served v0", engine_run(), old)

    def test_imported_blocks_may_be_reused(self):
        keys = tuple(f"{key:016x}" for key in block_keys(PROMPT, salt=SALT))
        imported = KvImport(
            interval=span(0.5, 0.6),
            engine="engine-2",
            incarnation="j1",
            source="engine-1",
            keys=keys,
        )
        run = self.reuse(engine="engine-2", incarnation="j1")
        self.assert_holds(self.name, imported, run)

    def test_run_outside_the_life_of_the_incarnation(self):
        lifetime = EngineLifetime(
            interval=span(0, 2.5), engine="engine-1", incarnation="i1"
        )
        self.assert_violation(
            self.name, "outside the life", lifetime, engine_run(), self.reuse()
        )


class WholeStreamTests(CheckerCase):
    name = "whole-stream"

    def test_complete_stream(self):
        self.assert_holds(self.name, completion())

    def test_gap_repeat_and_disorder(self):
        for indexes in ((0, 2), (0, 0, 1), (1, 0)):
            with self.subTest(indexes=indexes):
                bad = completion(event_indexes=indexes)
                self.assert_violation(self.name, "events arrived", bad)

    def test_cut_without_an_error_event(self):
        self.assert_violation(
            self.name, "without a regular", completion(ending=Ending.CUT)
        )

    def test_silence(self):
        self.assert_violation(self.name, "silent", completion(ending=Ending.SILENT))

    def test_short_answer(self):
        bad = completion(text=" one", event_indexes=(0,))
        self.assert_violation(self.name, "short", bad)

    def test_missing_finish_reason(self):
        self.assert_violation(self.name, "finish reason", completion(finish_reason=""))

    def test_error_event_only_excused_for_poison(self):
        bad = completion(ending=Ending.ERROR)
        self.assert_violation(self.name, "failed with an error", bad)
        self.assert_holds(self.name, attrs.evolve(bad, poison=True))

    def test_error_event_is_correct_once_no_engine_is_alive(self):
        lifetimes = [
            EngineLifetime(interval=span(0, 1.4), engine="engine-1", incarnation="i1"),
            EngineLifetime(interval=span(0, 1.5), engine="engine-2", incarnation="i2"),
        ]
        bad = completion(ending=Ending.ERROR)
        self.assert_holds(self.name, *lifetimes, bad)
        third = EngineLifetime(
            interval=span(1.45, 9), engine="engine-3", incarnation="i3"
        )
        self.assert_violation(self.name, "failed with an error", *lifetimes, third, bad)

    def test_an_engine_about_to_be_killed_is_not_certainly_alive(self):
        lifetime = EngineLifetime(
            interval=span(0, 9), engine="engine-1", incarnation="i1"
        )
        bad = completion(ending=Ending.ERROR)
        self.assert_violation(self.name, "failed with an error", lifetime, bad)
        self.assert_holds(self.name, attrs.evolve(lifetime, alive_until_s=1.9), bad)

    def test_refusal_is_no_stream(self):
        verdict = check(self.name, History(records=[completion(ending=Ending.REFUSED)]))
        self.assertEqual((verdict.checked, verdict.violations), (0, ()))

    @given(st.lists(st.integers(0, 6), max_size=7))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_only_consecutive_indexes_from_zero_hold(self, indexes):
        verdict = check(
            self.name, History(records=[completion(event_indexes=tuple(indexes))])
        )
        self.assertEqual(verdict.holds, indexes == list(range(len(indexes))))


class OwnAnswerTests(CheckerCase):
    name = "own-answer"

    def test_own_answer(self):
        self.assert_holds(self.name, completion())

    def test_answer_to_another_prompt(self):
        self.assert_violation(self.name, "does not belong", completion(text=" two one"))

    def test_part_of_another_answer_before_an_error(self):
        bad = completion(text=" two", ending=Ending.ERROR)
        self.assert_violation(self.name, "part of another", bad)

    def test_mixed_answer_ids(self):
        self.assert_violation(self.name, "mixed", completion(answer_ids=("a", "b")))

    def test_booking_of_another_seat(self):
        self.assert_holds(self.name, booking())
        self.assert_violation(self.name, "but got s2", booking(booked_seat="s2"))

    @given(st.text(alphabet="ab ", max_size=9))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_only_the_expected_text_holds(self, text):
        record = completion(expected_text="ab ab", text=text)
        verdict = check(self.name, History(records=[record]))
        self.assertEqual(verdict.holds, text == "ab ab")


class NotRunTests(CheckerCase):
    name = "not-run"

    def refused(self, **changes) -> Completion:
        fields = {"ending": Ending.REFUSED, "status": 503, "outcome": "not_run"}
        return completion(**(fields | {"text": "", "event_indexes": ()} | changes))

    def test_refused_and_not_run(self):
        other = engine_run(request_id="r9")
        self.assert_holds(self.name, self.refused(), other)

    def test_refused_but_run(self):
        self.assert_violation(self.name, "ran at", self.refused(), engine_run())

    def test_unknown_outcome_guarantees_nothing(self):
        history = History(records=[self.refused(outcome="unknown"), engine_run()])
        self.assertEqual(check(self.name, history).violations, ())

    def test_booking_refused_but_run(self):
        bad = booking(ending=Ending.REFUSED, outcome="not_run")
        self.assert_violation(self.name, "refused as not run", bad, service_run())

    def test_booking_run_by_a_later_attempt(self):
        first = booking(ending=Ending.REFUSED, outcome="not_run")
        second = booking(interval=span(3.0, 4.0))
        run = service_run(interval=span(3.4, 3.5))
        self.assert_holds(self.name, first, second, run)

    def test_later_attempt_does_not_excuse_an_earlier_run(self):
        first = booking(ending=Ending.REFUSED, outcome="not_run")
        second = booking(interval=span(3.0, 4.0))
        self.assert_violation(
            self.name, "refused as not run", first, second, service_run()
        )


class AtMostOnceTests(CheckerCase):
    name = "at-most-once"

    def test_once_for_two_attempts(self):
        repeat = booking(interval=span(3.0, 4.0))
        self.assert_holds(self.name, booking(), repeat, service_run())

    def test_twice_by_key(self):
        runs = [service_run(), service_run(booking="booking-2", service="service-2")]
        self.assert_violation(self.name, "ran 2 times", booking(), *runs)

    def test_twice_without_key(self):
        runs = [service_run(key=""), service_run(key="", booking="booking-2")]
        self.assert_violation(self.name, "ran 2 times", booking(key=""), *runs)

    def test_confirmation_without_a_run(self):
        self.assert_violation(self.name, "never ran", booking())

    def test_repeat_confirmed_with_another_booking(self):
        repeat = booking(booking="booking-7")
        self.assert_violation(self.name, "never ran", booking(), repeat, service_run())

    @given(st.lists(st.tuples(st.integers(0, 4), st.floats(0, 10)), max_size=12))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_second_run_is_found(self, runs):
        records = [
            service_run(
                interval=span(at_s, at_s + 1), key=f"k{key}", booking=f"b{index}"
            )
            for index, (key, at_s) in enumerate(runs)
        ]
        verdict = check(self.name, History(records=records))
        keys = [key for key, _ in runs]
        self.assertEqual(len(verdict.violations), len(keys) - len(set(keys)))


class LeavingEndpointTests(CheckerCase):
    name = "leaving-endpoint"

    def setUp(self):
        self.leaving = EndpointLeaving(
            interval=span(1.0, 20.0), endpoint="engine-1", source="vm-list"
        )
        self.elsewhere = engine_run(engine="engine-2", interval=span(5, 6))

    def test_work_within_the_bound(self):
        early = engine_run(interval=span(3.9, 9.0))
        self.assert_holds(self.name, self.leaving, early, self.elsewhere)

    def test_work_past_the_bound(self):
        late = engine_run(interval=span(4.1, 4.2))
        self.assert_violation(self.name, "after leaving", self.leaving, late)

    def test_work_after_the_endpoint_has_rejoined(self):
        back = engine_run(interval=span(21.0, 22.0))
        self.assert_holds(self.name, self.leaving, back, self.elsewhere)

    def test_property_does_not_hold_without_traffic(self):
        verdict = check(self.name, History(records=[self.leaving]))
        self.assertFalse(verdict.holds)


class GracefulShutdownTests(CheckerCase):
    name = "graceful-shutdown"

    def setUp(self):
        self.shutdown = NodeShutdown(
            interval=span(1.5, 3.0), node="node-1", exit_code=0
        )

    def test_answer_in_flight_ends_whole(self):
        self.assert_holds(self.name, self.shutdown, completion())

    def test_cut_and_resumed_elsewhere_counts_as_cut(self):
        bad = completion(resumptions=1)
        self.assert_violation(self.name, "was interrupted", self.shutdown, bad)

    def test_cut_before_the_first_token(self):
        bad = completion(ending=Ending.CUT, first_token_s=None)
        self.assert_violation(self.name, "was interrupted", self.shutdown, bad)

    def test_refusal_before_the_first_token_is_allowed(self):
        refused = completion(ending=Ending.REFUSED, first_token_s=None)
        self.assert_holds(self.name, self.shutdown, refused)

    def test_cut_booking(self):
        bad = booking(ending=Ending.CUT)
        self.assert_violation(self.name, "was interrupted", self.shutdown, bad)

    def test_exit_code(self):
        bad = attrs.evolve(self.shutdown, exit_code=-9)
        self.assert_violation(self.name, "exit code", bad, completion())


class WarmStartTests(CheckerCase):
    name = "warm-start"

    def lifetime(self, **changes) -> NodeLifetime:
        fields = {"interval": span(0.0, 30.0), "node": "node-1", "zone": "perth-a"}
        return NodeLifetime(**(fields | {"listening_s": 0.5, "ready_s": 0.9} | changes))

    def test_serves_at_once(self):
        self.assert_holds(self.name, self.lifetime(), completion())

    def test_slow_to_be_ready(self):
        bad = self.lifetime(ready_s=1.6)
        self.assert_violation(self.name, "was not ready", bad)

    def test_slow_to_answer(self):
        bad = self.lifetime(listening_s=10.5, ready_s=10.6)
        self.assert_violation(self.name, "did not answer", bad)
        self.assert_violation(
            self.name, "did not answer", self.lifetime(listening_s=None, ready_s=None)
        )

    def test_never_ready(self):
        self.assert_violation(self.name, "was not ready", self.lifetime(ready_s=None))

    def test_killed_before_the_bound(self):
        short = self.lifetime(ready_s=None, interval=span(0.0, 1.0))
        self.assertEqual(check(self.name, History(records=[short])).violations, ())

    def test_first_request_refused(self):
        refused = completion(ending=Ending.REFUSED, step="configuration")
        self.assert_violation(self.name, "did not serve", self.lifetime(), refused)

    def test_first_start_of_a_fleet_is_not_a_restart(self):
        first = self.lifetime(ready_s=None, recovered=False)
        self.assertEqual(check(self.name, History(records=[first])).violations, ())


class ConfigurationTests(CheckerCase):
    name = "configuration"

    def test_new_revisions_in_force_in_time(self):
        self.assert_holds(
            self.name,
            submission(1, 0),
            observed(1, 2),
            submission(2, 3),
            observed(2, 9),
        )

    def test_node_reverts_to_an_earlier_revision(self):
        self.assert_violation(
            self.name, "reverted from", observed(2, 1), observed(1, 2)
        )

    def test_reverts_after_a_restart_of_the_node(self):
        lifetimes = [
            NodeLifetime(interval=span(0, 2), node="node-1", zone="a", ready_s=1),
            NodeLifetime(interval=span(3, 9), node="node-1", zone="a", ready_s=4),
        ]
        self.assert_violation(
            self.name, "reverted from", *lifetimes, observed(2, 1), observed(1, 5)
        )

    def test_overlapping_readings_have_no_order(self):
        records = [
            observed(2, 1, interval=span(1, 3)),
            observed(1, 2, interval=span(2, 4)),
        ]
        self.assertEqual(check(self.name, History(records=records)).violations, ())

    def test_revision_in_force_too_late(self):
        self.assert_violation(
            self.name, "still had", submission(2, 0), observed(1, 4), observed(1, 5.6)
        )

    def test_bound_of_a_cut_off_node_counts_from_the_end_of_the_cut(self):
        cut = Cut(interval=span(0, 10), parts=("node-1",), reason="isolated")
        records = [
            submission(2, 0),
            cut,
            observed(1, 4),
            observed(1, 14.9),
            observed(2, 15.1),
        ]
        self.assert_holds(self.name, *records)
        self.assert_violation(self.name, "still had", *records[:4], observed(1, 15.1))

    def test_one_revision_assigned_twice(self):
        records = [submission(2, 0), submission(2, 0.1, digest="other")]
        self.assert_violation(self.name, "was assigned twice", *records)

    def test_later_submission_with_a_lower_revision(self):
        self.assert_violation(
            self.name, "got revision", submission(3, 0), submission(2, 1)
        )

    def test_two_contents_of_a_revision(self):
        other = observed(2, 2, node="node-2", digest="other")
        self.assert_violation(self.name, "two contents", observed(2, 1), other)

    def test_rejected_in_force(self):
        bad = submission(None, 0, accepted=False, digest="bad")
        self.assert_violation(self.name, "rejected", bad, observed(4, 1, digest="bad"))

    def test_unknown_verdict_may_be_in_force(self):
        lost = submission(None, 0, accepted=None, digest="lost")
        observed_twice = [observed(4, at_s, digest="lost") for at_s in (1, 2)]
        self.assert_holds(self.name, lost, *observed_twice)

    @given(st.lists(st.integers(0, 5), min_size=2, max_size=10))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_decrease_of_the_revision_is_found(self, revisions):
        readings = [observed(revision, at_s) for at_s, revision in enumerate(revisions)]
        verdict = check(self.name, History(records=readings))
        self.assertEqual(verdict.holds, revisions == sorted(revisions))


if __name__ == "__main__":
    unittest.main()
