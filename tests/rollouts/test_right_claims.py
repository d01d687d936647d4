"""Tests of taking and renewing the right in the log."""

from __future__ import annotations

import unittest

from crocuswick.platform.store_client import StoreClient
from crocuswick.rollouts.right_claims import LeaseClaims
from tests.platform.metadata_store import MetadataStore

TOPIC = "leases"


class LeaseClaimsTests(unittest.TestCase):
    def setUp(self):
        self.store = MetadataStore()
        self.addCleanup(self.store.stop)
        self.one = self.claims("one")
        self.two = self.claims("two")

    def claims(self, node_id):
        return LeaseClaims(
            node_id=node_id,
            topic=TOPIC,
            store=StoreClient(address=self.store.address),
        )

    def test_the_first_claim_has_nobody_before_it(self):
        claim = self.one.claim(None)
        self.assertEqual((claim.token, claim.previous), (0, None))

    def test_a_renewal_gets_a_higher_token(self):
        first = self.one.claim(None)
        again = self.one.claim(first.token)
        self.assertTrue(again.is_renewal)
        self.assertGreater(again.token, first.token)

    def test_a_node_that_takes_over_learns_of_the_holder_before(self):
        self.one.claim(None)
        taken = self.two.claim(None)
        self.assertEqual((taken.token, taken.previous.node_id), (1, "one"))

    def test_a_holder_that_was_replaced_does_not_take_the_right_back(self):
        first = self.one.claim(None)
        self.two.claim(None)
        lost = self.one.claim(first.token)
        self.assertIsNone(lost.token)
        self.assertIn("another node", lost.error)

    def test_a_guess_that_happens_to_fit_is_no_first_claim(self):
        """Found on reading: whoever guessed the end rightly believed that nobody
        had held the right before."""
        first = self.one.claim(None)
        lost = self.two.claim(first.token + 5)
        self.assertIsNone(lost.token)
        taken = self.two.claim(None)
        self.assertEqual(taken.previous.node_id, "one")

    def test_a_dropped_history_hides_no_holder(self):
        """Found on reading: with its record dropped, a holder that had just ordered
        was taken for none, and the next one ordered at once."""
        self.one.claim(None)
        self.store.trim(TOPIC)
        taken = self.two.claim(None)
        self.assertIsNotNone(taken.previous)
        self.assertNotEqual(taken.previous.node_id, "two")

    def test_a_store_that_is_down_is_an_error(self):
        self.store.fault = "busy"
        claim = self.one.claim(None)
        self.assertIsNone(claim.token)
        self.assertIn("status 503", claim.error)
