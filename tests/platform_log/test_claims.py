"""Tests for claims against the fake log service."""

from __future__ import annotations

import threading
import time
import unittest

from crocuswick.outcome import Outcome
from crocuswick.platform_log import ClaimRegistry, ClaimVerdictKind
from tests.fakes.launcher import Launcher, wait_until


class ClaimRegistryTests(unittest.TestCase):
    def setUp(self):
        self.launcher = Launcher()
        self.addCleanup(self.launcher.close)
        self.log = self.launcher.fake("log_service")

    def registry(self, name="node-1", **settings):
        registry = ClaimRegistry(
            log_address=self.log.address,
            node_id=name,
            append_timeout_ms=300,
            claim_timeout_ms=800,
            **settings,
        )
        registry.start()
        self.addCleanup(registry.stop)
        return registry

    def claim(self, registry, key="seat-1", fingerprint="f"):
        return registry.claim(
            organisation="swanfold", service="tent", key=key, fingerprint=fingerprint
        )

    def await_kind(self, registry, kind):
        return wait_until(
            lambda: (
                (found := self.claim(registry)).is_ok()
                and found.unwrap().kind is kind
                and found.unwrap()
            )
        )

    def test_repeat_at_another_node_replays_the_response(self):
        first, second = self.registry("node-1"), self.registry("node-2")
        verdict = self.claim(first).unwrap()
        self.assertIs(verdict.kind, ClaimVerdictKind.FIRST)
        repeat = self.claim(second).unwrap()
        self.assertIs(repeat.kind, ClaimVerdictKind.IN_PROGRESS_OR_UNKNOWN)
        mismatch = self.claim(second, fingerprint="other").unwrap()
        self.assertIs(mismatch.kind, ClaimVerdictKind.MISMATCH)
        first.complete(verdict.claim_id, status=201, headers={"A": "b"}, body=b"\0ok")
        replay = self.await_kind(second, ClaimVerdictKind.REPLAY).replay
        self.assertEqual(
            (replay.status, replay.headers, replay.body), (201, {"A": "b"}, b"\0ok")
        )
        late = self.registry("node-3")
        late_verdict = self.await_kind(late, ClaimVerdictKind.REPLAY)
        self.assertEqual(late_verdict.replay, replay)

    def test_repeat_right_after_the_response_replays_it(self):
        first, second = self.registry("node-1"), self.registry("node-2")
        for number in range(8):
            key = f"seat-{number}"
            verdict = self.claim(first, key=key).unwrap()
            # The other node has read the claim but not yet its completion.
            self.claim(second, key=key)
            first.complete(verdict.claim_id, status=201, headers={}, body=b"ok")
            repeat = self.claim(second, key=key).unwrap()
            self.assertIs(repeat.kind, ClaimVerdictKind.REPLAY)

    def test_concurrent_claims_have_one_first(self):
        registries = [self.registry(f"node-{number}") for number in range(3)]
        kinds = []
        threads = [
            threading.Thread(
                target=lambda k=registry: kinds.append(self.claim(k).unwrap().kind)
            )
            for registry in registries * 4
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(kinds.count(ClaimVerdictKind.FIRST), 1)
        self.assertEqual(kinds.count(ClaimVerdictKind.IN_PROGRESS_OR_UNKNOWN), 11)

    def test_lost_append_response_is_resolved_by_reading_back(self):
        self.log.set_faults(lose_next_answers=1)
        verdict = self.claim(self.registry()).unwrap()
        self.assertIs(verdict.kind, ClaimVerdictKind.FIRST)

    def test_log_down_refuses_at_once_and_frees_the_key_afterwards(self):
        registry = self.registry()
        self.log.kill()
        for _ in range(3):
            began_s = time.monotonic()
            error = self.claim(registry).unwrap_err()
            self.assertIs(error.outcome, Outcome.NOT_RUN)
            self.assertLess(time.monotonic() - began_s, 0.3)
        self.log.restart()
        self.await_kind(registry, ClaimVerdictKind.FIRST)

    def test_claim_with_unknown_append_outcome_is_not_run_and_frees_the_key(self):
        registry = self.registry()
        self.claim(registry, key="warm-up").unwrap()
        # The pending poll still returns once. Reads fail only after that.
        self.log.set_faults(reads="unavailable")
        noise = {"records": [{"type": "noise"}]}
        self.log.call("POST", "/v1/streams/claims/records", noise)
        self.log.set_faults(lose_next_answers=1)
        error = self.claim(registry).unwrap_err()
        self.assertIs(error.outcome, Outcome.NOT_RUN)
        self.log.set_faults(reads="none")
        other = self.registry("node-2")
        self.await_kind(other, ClaimVerdictKind.FIRST)
        values = [
            record["value"]
            for record in self.log.history()["streams"]["claims"]["records"]
        ]
        self.assertIn("abandoned", [value["type"] for value in values])

    def test_append_status_503_refuses_at_once(self):
        registry = self.registry()
        self.log.set_faults(appends="unavailable")
        began_s = time.monotonic()
        error = self.claim(registry).unwrap_err()
        self.assertIs(error.outcome, Outcome.NOT_RUN)
        self.assertLess(time.monotonic() - began_s, 0.3)

    def test_claims_resume_once_retained_records_cover_the_window(self):
        registry = self.registry(window_ms=1_200)
        self.claim(registry, key="seat-0").unwrap()
        self.assertIs(self.claim(registry).unwrap().kind, ClaimVerdictKind.FIRST)
        self.log.set_faults(retention_records=1)
        late = self.registry("node-2", window_ms=1_200)
        error = self.claim(late, key="seat-2").unwrap_err()
        self.assertIs(error.outcome, Outcome.NOT_RUN)
        # Marks prove that the records cover a window, so claims succeed again.
        self.log.set_faults(retention_records=0)
        self.await_kind(late, ClaimVerdictKind.FIRST)


if __name__ == "__main__":
    unittest.main()
