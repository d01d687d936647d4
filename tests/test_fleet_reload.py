"""Tests of reloading settings while a node runs."""

from __future__ import annotations

import unittest

import attrs
from result import Err, Ok

from crocuswick.fleet_reload import SettingsReload
from crocuswick.platform.settings_file import parse_fleet_settings
from tests.platform.test_settings_file import TEXT

SETTINGS = parse_fleet_settings(TEXT).ok_value


class RecordedLog:
    """Stand-in for the decision log that stores its lines in memory."""

    def __init__(self):
        self.lines = []

    def record_state(self, event, **fields):
        """Append a line."""
        self.lines.append((event, fields))


class SettingsReloadTests(unittest.TestCase):
    def setUp(self):
        self.file = Ok(SETTINGS)
        self.applied = []
        self.log = RecordedLog()
        self.reload = SettingsReload(
            settings=SETTINGS,
            load=lambda: self.file,
            on_change=self.applied.append,
            log=self.log,
        )

    def write(self, **changes):
        self.file = Ok(attrs.evolve(SETTINGS, **changes))
        self.reload.check()

    def test_an_unchanged_file_is_not_applied_again(self):
        self.reload.check()
        self.assertEqual((self.applied, self.log.lines), ([], []))

    def test_seeds_and_bounds_are_applied(self):
        bounds = attrs.evolve(SETTINGS.bounds, retry_slack=1)
        self.write(seeds=("10.9.0.1:1",), bounds=bounds)
        self.reload.check()
        self.assertEqual(len(self.applied), 1)
        self.assertEqual(self.applied[0].seeds, ("10.9.0.1:1",))
        self.assertEqual(self.applied[0].bounds.retry_slack, 1)

    def test_fields_that_need_a_restart_are_logged_and_not_applied(self):
        self.write(zone="elsewhere", seeds=())
        self.assertEqual(self.applied[0].zone, SETTINGS.zone)
        event, fields = self.log.lines[0]
        self.assertEqual(event, "settings reloaded")
        self.assertEqual(fields, {"taken": ["seeds"], "need_restart": ["zone"]})

    def test_an_invalid_file_changes_nothing_and_is_logged_once(self):
        self.file = Err(["Zone: is missing"])
        self.reload.check()
        self.reload.check()
        self.assertEqual(self.applied, [])
        self.assertEqual([event for event, _ in self.log.lines], ["settings not taken"])
        self.write(seeds=())
        self.assertEqual(len(self.applied), 1)
