"""Tests for the configuration component against the fake log service."""

from __future__ import annotations

import threading
import unittest

from crocuswick.configuration import ConfigurationStore, VerdictKind
from crocuswick.outcome import Outcome
from tests.configuration.sets import object_set, organisation
from tests.fakes.launcher import Launcher, wait_until


class StoreTestCase(unittest.TestCase):
    def setUp(self):
        self.launcher = Launcher()
        self.addCleanup(self.launcher.close)
        self.log = self.launcher.fake("log_service")

    def store(self, **settings):
        settings.setdefault("on_change", lambda configuration: None)
        store = ConfigurationStore(
            log_address=self.log.address, append_timeout_ms=500, **settings
        )
        store.start()
        self.addCleanup(store.stop)
        return store


class SubmitTests(StoreTestCase):
    def test_accepted_set_reaches_all_nodes(self):
        seen = []
        stores = [self.store(on_change=seen.append) for _ in range(3)]
        verdict = (
            stores[0]
            .submit(object_set(0, [organisation(1)]), submission_id="s1")
            .unwrap()
        )
        self.assertEqual((verdict.kind, verdict.revision), (VerdictKind.ACCEPTED, 1))
        wait_until(lambda: len(seen) == 3)
        self.assertTrue(all("org-1" in each.organisations_by_id for each in seen))

    def test_one_concurrent_submission_wins_and_the_rejections_name_it(self):
        stores = [self.store() for _ in range(4)]
        verdicts = []

        def submit(number):
            wanted = object_set(0, [organisation(number)])
            verdicts.append(
                stores[number].submit(wanted, submission_id=f"s{number}").unwrap()
            )

        threads = [threading.Thread(target=submit, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [v for v in verdicts if v.kind == VerdictKind.ACCEPTED]
        rejected = [v for v in verdicts if v.kind == VerdictKind.CONFLICT]
        self.assertEqual((len(accepted), len(rejected)), (1, 3))
        self.assertEqual({v.lost_to for v in rejected}, {accepted[0].submission_id})

    def test_lost_responses_create_one_revision_and_no_false_rejection(self):
        self.log.set_faults(lose_next_answers=2)
        store = self.store()
        wanted = object_set(0, [organisation(1)])
        verdict = store.submit(wanted, submission_id="s1").unwrap()
        self.assertEqual((verdict.kind, verdict.revision), (VerdictKind.ACCEPTED, 1))
        repeated = store.submit(wanted, submission_id="s1").unwrap()
        self.assertEqual(repeated, verdict)
        self.assertEqual(store.current.revision, 1)

    def test_log_down_is_not_run(self):
        store = self.store()
        wait_until(lambda: store.has_configuration)
        self.log.kill()
        error = store.submit(
            object_set(0, [organisation(1)]), submission_id="s1", timeout_ms=600
        ).unwrap_err()
        self.assertEqual(error.outcome, Outcome.NOT_RUN)

    def test_set_based_on_an_old_revision_is_rejected(self):
        store = self.store()
        store.submit(object_set(0, [organisation(1)]), submission_id="s1").unwrap()
        verdict = store.submit(
            object_set(0, [organisation(2)]), submission_id="s2"
        ).unwrap()
        self.assertEqual((verdict.kind, verdict.lost_to), (VerdictKind.CONFLICT, "s1"))


class RestartTests(StoreTestCase):
    def fill(self, store, revisions):
        for revision in range(revisions):
            wanted = object_set(revision, [organisation(revision)])
            store.submit(wanted, submission_id=f"s{revision}").unwrap()

    def test_node_starts_from_a_snapshot_after_retention(self):
        store = self.store(snapshot_interval_ms=100)
        self.fill(store, 3)
        wait_until(lambda: self._has_snapshot_of(3))
        self.log.set_faults(retention_records=1)
        late = self.store()
        wait_until(lambda: late.current.revision == 3)
        wait_until(lambda: self._has_snapshot_of(3))
        verdict = late.submit(
            object_set(3, [organisation(9)]), submission_id="late"
        ).unwrap()
        self.assertEqual(verdict.revision, 4)
        wait_until(lambda: store.current.revision == 4)

    def test_node_starts_from_a_peer_while_the_log_is_down(self):
        store = self.store()
        self.fill(store, 2)
        self.log.kill()
        late = self.store()
        self.assertFalse(late.has_configuration)
        late.adopt_snapshot(store.snapshot()).unwrap()
        wait_until(lambda: late.current == store.current)
        self.assertTrue(late.has_configuration)
        self.assertTrue(late.adopt_snapshot(b"\xc1").is_err())

    def test_fleet_recovers_when_the_log_dropped_unread_records(self):
        ahead, behind = (
            self.store(recovery_delay_ms=200, snapshot_interval_ms=60_000)
            for _ in range(2)
        )
        self.fill(ahead, 3)
        wait_until(lambda: behind.current.revision == 3)
        self.log.set_faults(reads="unavailable")
        wait_until(lambda: not (ahead.is_log_reachable or behind.is_log_reachable))
        self.log.call(
            "POST",
            "/v1/streams/configuration/records",
            {"records": [{"noise": number} for number in range(5)]},
        )
        self.log.set_faults(reads="none", retention_records=1)
        fresh = self.store()
        wait_until(lambda: fresh.current.revision == 3, timeout_s=15)
        self.assertEqual(fresh.current, ahead.current)

    def test_operator_recovers_a_fleet_without_configuration(self):
        store = self.store()
        saved = object_set(1, [organisation(1), organisation(2)])
        self.assertIs(store.recover(saved).unwrap_err().outcome, Outcome.NOT_RUN)
        self.fill(store, 2)
        self.log.set_faults(retention_records=1)
        fleet = [self.store(), self.store()]
        # The single retained record does not contain the dropped submissions.
        wait_until(lambda: all(each.is_log_reachable for each in fleet))
        self.assertFalse(any(each.has_configuration for each in fleet))
        self.log.set_faults(retention_records=0)
        # Recovery is refused until the node has read to the end of the stream.
        revision = wait_until(lambda: fleet[0].recover(saved).ok())
        self.assertEqual(revision, 1)
        wait_until(lambda: fleet[1].current == fleet[0].current)
        self.assertEqual(fleet[1].current.objects(), list(saved.objects))

    def _has_snapshot_of(self, revision):
        records = self.log.history()["streams"]["configuration"]["records"]
        last = records[-1]["value"]
        return last.get("snapshot", {}).get("revision") == revision


if __name__ == "__main__":
    unittest.main()
