"""Tests for the sample set files."""

from __future__ import annotations

import unittest

from crocuswick import jsonc
from crocuswick.configuration import Configuration, parse_set
from tests.fakes.launcher import REPOSITORY

SAMPLES = REPOSITORY / "samples"


class SampleTests(unittest.TestCase):
    def test_samples_are_valid_and_have_eight_organisations(self):
        for name in ("swanfold", "umurava"):
            with self.subTest(name=name):
                text = (SAMPLES / f"{name}.jsonc").read_text()
                found = parse_set(jsonc.parse(text).unwrap()).unwrap()
                configuration = Configuration.from_objects(
                    revision=1, objects=found.objects
                )
                self.assertEqual(len(configuration.organisations_by_id), 8)
                first = next(iter(configuration.organisations_by_id))
                secret = f"sample-key-of-{first}"
                self.assertEqual(configuration.organisation_id_for_key(secret), first)


if __name__ == "__main__":
    unittest.main()
