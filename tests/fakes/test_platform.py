"""Tests of the fakes for the VM list, the weight store and plain services."""

from __future__ import annotations

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import urllib3

from tests.fakes.launcher import Launcher, wait_until


class PlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        self.launcher = Launcher()
        self.addCleanup(self.launcher.close)

    def test_change_of_the_vm_list_is_visible_after_the_lag(self):
        vm_list = self.launcher.fake("vm_list")
        vm_list.call("POST", "/control/vms", {"vms": [{"id": "a", "state": "live"}]})
        vm_list.set_faults(lag_ms=300)
        changed_s = time.monotonic()
        vm_list.call("POST", "/control/vms/a", {"state": "leaving"})
        wait_until(
            lambda: (
                vm_list.call("GET", "/v1/vms")["vms"]
                == [{"id": "a", "state": "leaving"}]
            )
        )
        self.assertGreaterEqual(time.monotonic() - changed_s, 0.3)

    def test_loads_beyond_the_full_rate_take_longer(self):
        store = self.launcher.fake("weight_store", load_ms=100, full_rate_loads=1)
        started_s = time.monotonic()
        with ThreadPoolExecutor(max_workers=3) as pool:
            paths = [f"/v1/weights/m/v{number}" for number in range(3)]
            list(pool.map(lambda path: store.call("GET", path), paths))
        self.assertGreaterEqual(time.monotonic() - started_s, 0.25)
        self.assertEqual(max(load["running"] for load in store.history()["loads"]), 3)

    def test_booking_with_a_lost_response_takes_effect(self):
        service = self.launcher.fake("plain_service")
        service.set_faults(lose_next_answers=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            service.call("POST", "/bookings", {"seat": "7"})
        self.assertEqual(service.history()["runs"][0]["seat"], "7")
        again = service.call("POST", "/bookings", {"seat": "7"})
        self.assertEqual(again["runs"], 2)
