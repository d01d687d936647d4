"""Tests of the actor that rolls out weights, with engines and a store in memory."""

from __future__ import annotations

import threading
import time
import unittest
from unittest import mock

from result import Ok

from crocuswick.boot_clock import boot_clock_s
from crocuswick.gossip.messages import LeaseAcquired, LeaseReleased
from crocuswick.records.store import AppendAck, LogTail
from crocuswick.records.store_era import StoreEra
from crocuswick.relay.engine_state import EngineState
from crocuswick.relay.replica import Replica, ReplicaState
from crocuswick.rollouts import lease_takeover
from crocuswick.rollouts.driver import (
    MAX_IDLE_WAIT_S,
    VERSION_CHECK_INTERVAL_S,
    RolloutDriver,
)
from crocuswick.rollouts.engine_orders import EngineReport, OrderResponse
from crocuswick.rollouts.lease_claims import LeaseClaim
from crocuswick.rollouts.lease_takeover import TAKE_OVER_STEP_S
from crocuswick.rollouts.order_lease import LeaseRecord, encode_lease

MODEL = "m"
HANDOVER_S = 3.0
DEADLINE_S = 5.0


def wait_for(condition):
    deadline_s = time.monotonic() + DEADLINE_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"waited {DEADLINE_S} s for the condition")
        time.sleep(0.01)


class MemoryStore:
    """One topic of lease records."""

    def __init__(self):
        self.records = []
        self.lock = threading.Lock()

    def append(self, _topic, record, *, at):
        with self.lock:
            if at != len(self.records):
                return Ok(AppendAck(is_appended=False, position=len(self.records)))
            self.records.append(record)
            return Ok(AppendAck(is_appended=True, position=at))

    def read_tail(self, _topic, *, start):
        with self.lock:
            records = tuple(self.records[start:])
            return Ok(LogTail(end=len(self.records), first=0, records=records))


class Engines:
    """Engines that load at once; one order a call."""

    def __init__(self, count):
        self.orders = []
        self.prefill_tokens = 0
        self.version_by_id = {f"engine{number}": 1 for number in range(count)}

    def states(self):
        return [
            EngineState(
                replica=Replica(
                    id=engine_id,
                    started_ms=1,
                    service="models",
                    address="127.0.0.1:1",
                    zone="a",
                    state=ReplicaState.READY,
                    slots=16,
                    weights_by_model={MODEL: version},
                    report_number=1,
                ),
                weights_by_model={MODEL: version},
                prefill_tokens=self.prefill_tokens,
            )
            for engine_id, version in self.version_by_id.items()
        ]

    def report(self, replica):
        return Ok(
            EngineReport(
                weights_by_model={MODEL: self.version_by_id[replica.id]},
                is_busy=False,
                orders=0,
                running=0,
                queued=0,
            )
        )

    def order(self, replica, order):
        self.orders.append((time.monotonic(), order.holder))
        self.version_by_id[replica.id] = order.version
        return Ok(OrderResponse.ACCEPTED)


class RolloutDriverTests(unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.engines = Engines(8)
        patched = mock.patch.object(lease_takeover, "STARTUP_WAIT_S", 0.0)
        patched.start()
        self.addCleanup(patched.stop)

    def driver(self, node_id):
        published = []
        driver = RolloutDriver.start(
            node_id=node_id,
            topic="leases",
            handover_s=HANDOVER_S,
            store=self.store,
            era=StoreEra(),
            orders=self.engines,
            engines=self.engines.states,
            rank=lambda: 0,
            is_active=threading.Event(),
            publish=published.append,
            log=mock.Mock(),
        )
        self.addCleanup(driver.stop)
        return driver, published

    def set_target(self, driver):
        driver.tell(RolloutDriver.SetTargetVersion(model=MODEL, version=2))

    def published_of(self, published, message_type):
        return [each for each in published if isinstance(each, message_type)]

    def test_nodes_that_claim_at_once_do_not_take_the_lease_from_each_other(self):
        """Otherwise no node sends orders until the handover time has passed."""
        drivers = [self.driver(f"node{number}")[0] for number in range(4)]
        for driver in drivers:
            self.set_target(driver)
        wait_for(lambda: self.engines.orders)
        time.sleep(0.2)
        self.assertEqual(len({holder for _, holder in self.engines.orders}), 1)
        self.assertEqual(len(self.store.records), 1)

    def test_a_holder_releases_the_lease_that_another_node_has_acquired(self):
        """Otherwise the next holder waits until the lease expires, and for the
        handover time after that."""
        driver, published = self.driver("one")
        self.set_target(driver)
        wait_for(lambda: self.published_of(published, LeaseAcquired))
        driver.tell(RolloutDriver.HolderActive(node_id="two", token=7))
        wait_for(lambda: self.published_of(published, LeaseReleased))

    def test_an_order_is_not_sent_after_the_lease_was_released(self):
        """The next holder counts the handover time from the last order that the
        release names."""
        self.engines.prefill_tokens = 1_000
        driver, published = self.driver("one")
        self.set_target(driver)
        wait_for(lambda: self.published_of(published, LeaseAcquired))
        driver.tell(RolloutDriver.ReleaseLease())
        wait_for(lambda: self.published_of(published, LeaseReleased))
        released_s = time.monotonic()
        time.sleep(MAX_IDLE_WAIT_S + 0.3)
        late = [sent_s for sent_s, _ in self.engines.orders if sent_s > released_s]
        self.assertEqual(late, [])

    def test_a_release_names_the_time_at_which_the_last_order_was_sent(self):
        """An order is sent up to `MAX_IDLE_WAIT_S` after it was decided."""
        self.engines.prefill_tokens = 1_000
        driver, published = self.driver("one")
        self.set_target(driver)
        wait_for(lambda: self.engines.orders)
        driver.tell(RolloutDriver.ReleaseLease())
        wait_for(lambda: self.published_of(published, LeaseReleased))
        released = self.published_of(published, LeaseReleased)[0]
        age_s = time.monotonic() - max(sent_s for sent_s, _ in self.engines.orders)
        self.assertLess(released.last_order_age_ms / 1000, age_s + 0.1)

    def test_a_release_without_an_order_passes_on_the_wait(self):
        """Guards against orders of two nodes within the handover time: a node that was
        being stopped had taken the lease from a lost one, and released it unused."""
        lost = LeaseRecord(node_id="lost", nonce="n", clock_s=time.time())
        self.store.records.append(encode_lease(lost))
        driver, published = self.driver("one")
        self.set_target(driver)
        driver.tell(RolloutDriver.Tick())
        claimed_s = time.monotonic()
        while not self.published_of(published, LeaseAcquired):
            self.assertLess(time.monotonic() - claimed_s, DEADLINE_S)
            driver.tell(RolloutDriver.Tick())
            time.sleep(0.05)
        driver.tell(RolloutDriver.ReleaseLease())
        wait_for(lambda: self.published_of(published, LeaseReleased))
        (released,) = self.published_of(published, LeaseReleased)
        self.assertEqual(self.engines.orders, [])
        self.assertIsNotNone(released.last_order_age_ms)
        self.assertLess(released.last_order_age_ms, 0)

    def test_a_late_renewal_does_not_undo_a_newer_claim(self):
        """A renewal whose response arrives after another node acquired the lease must
        not let this node send orders."""
        self.engines.version_by_id.clear()
        driver, published = self.driver("one")
        self.set_target(driver)
        driver.tell(RolloutDriver.HolderActive(node_id="two", token=7))
        claim = LeaseClaim(token=6, sent_s=boot_clock_s(), is_renewal=True)
        driver.ask(RolloutDriver.ClaimEnded(claim=claim))
        self.engines.version_by_id["engine"] = 1
        time.sleep(VERSION_CHECK_INTERVAL_S)
        driver.ask(RolloutDriver.Tick())
        time.sleep(0.2)
        self.assertEqual(self.engines.orders, [])
        self.assertEqual(self.published_of(published, LeaseAcquired), [])

    def test_a_topic_that_begins_anew_does_not_block_the_rollout(self):
        """Claims then get lower offsets than the ones that were announced before."""
        driver, _ = self.driver("one")
        driver.tell(RolloutDriver.HolderActive(node_id="two", token=7))
        self.set_target(driver)
        time.sleep(TAKE_OVER_STEP_S + 0.1)
        driver.tell(RolloutDriver.Tick())
        wait_for(lambda: self.engines.orders)
