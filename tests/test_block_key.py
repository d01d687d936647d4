"""Tests of the chained block keys."""

from __future__ import annotations

import unittest

from crocuswick.block_key import BLOCK_BYTES, block_keys, cache_salt


class BlockKeyTests(unittest.TestCase):
    def test_shared_prefix_shares_keys(self):
        head = "a" * BLOCK_BYTES
        first = block_keys(head + "b" * BLOCK_BYTES, salt="s")
        second = block_keys(head + "c" * BLOCK_BYTES, salt="s")
        self.assertEqual(first[0], second[0])
        self.assertNotEqual(first[1], second[1])

    def test_partial_block_has_no_key(self):
        self.assertEqual(block_keys("a" * (BLOCK_BYTES - 1), salt="s"), [])

    def test_salt_separates_organisations_and_weights(self):
        salts = {
            cache_salt(organisation=organisation, model="m", weights_version=version)
            for organisation in ("a", "ab")
            for version in ("1", "b1")
        }
        self.assertEqual(len(salts), 4)
        prompt = "x" * BLOCK_BYTES
        self.assertEqual(len({block_keys(prompt, salt=salt)[0] for salt in salts}), 4)
