"""Tests of the detection of pauses of a process."""

from __future__ import annotations

import unittest

from crocuswick.pause_watch import CATCH_UP_S, PauseWatch


class PauseWatchTests(unittest.TestCase):
    def watch(self, *ticks_s):
        watch = PauseWatch(0.0)
        for tick_s in ticks_s:
            watch.tick(tick_s)
        return watch

    def test_what_is_noticed_while_the_process_runs_is_new(self):
        self.assertEqual(self.watch(0.1, 0.2, 0.3).unseen_s(0.4), 0.0)

    def test_what_is_noticed_after_a_pause_may_be_as_old_as_its_beginning(self):
        """Guards against an age that counts from the end of a freeze."""
        self.assertAlmostEqual(self.watch(0.1, 5.1).unseen_s(5.6), 5.5)

    def test_a_pause_is_known_before_the_next_tick(self):
        """Guards against a record that is handled before the thread that ticks runs."""
        self.assertAlmostEqual(self.watch(0.1).unseen_s(5.1), 5.0)

    def test_a_pause_is_over_once_the_process_has_caught_up(self):
        watch = self.watch(0.1, 5.1)
        now_s = 5.1
        while now_s < 5.1 + CATCH_UP_S:
            now_s += 0.1
            watch.tick(now_s)
        self.assertEqual(watch.unseen_s(now_s + 0.1), 0.0)

    def test_pauses_in_quick_succession_count_as_one(self):
        """Guards against a second pause that hides that the first one was not caught up."""
        self.assertAlmostEqual(self.watch(0.1, 5.1, 5.3, 8.3).unseen_s(8.4), 8.3)


if __name__ == "__main__":
    unittest.main()
