"""Tests for the validation of a set of objects."""

from __future__ import annotations

import hashlib
import json
import unittest

from crocuswick import jsonc
from crocuswick.configuration import (
    Configuration,
    check_objects,
    check_set,
    to_record,
)
from tests.configuration.sets import small_objects


def faults_of(objects, **envelope):
    document = {"base_revision": 0, "objects": objects, **envelope}
    text = json.dumps(document, indent=1)
    return check_set(jsonc.parse(text).unwrap()), text.splitlines()


class CheckSetTests(unittest.TestCase):
    def assert_faults(self, change, expected):
        """Assert the object and field of every fault after a change."""
        objects = small_objects()
        change(objects)
        faults, _ = faults_of(objects)
        self.assertEqual([(fault.object, fault.field) for fault in faults], expected)

    def test_valid_set(self):
        self.assertEqual(faults_of(small_objects())[0], [])

    def test_every_fault_is_reported_with_its_line(self):
        objects = small_objects()
        objects[1]["max_context_tokens"] = True
        objects[2]["endpoints"][0]["address"] = "engine.example:80"
        objects[4] |= {"model_version": "lm-v2", "pool": "plain"}
        objects[5]["prefix"] = "a/b"
        objects[6]["tokens_per_s"] = -1
        objects[7] |= {"organisation": "org-9", "sha256": "XY"}
        faults, lines = faults_of(objects, base_revison=1)
        self.assertEqual(len(faults), 9)
        for fault in faults:
            field = fault.field.rpartition(".")[2]
            self.assertIn(f'"{field}"', lines[fault.line - 1])

    def test_conflicts(self):
        def duplicate(index, **changes):
            return lambda objects: objects.append(objects[index] | changes)

        pool = {"id": "other", "endpoints": [{"id": "e1", "address": "1.2.3.4:5"}]}
        pool["endpoints"][0]["zone"] = "perth-b"
        cases = [
            (duplicate(0), [("organisation org-1", "id")]),
            (duplicate(4, id="x"), [("routing_policy x", "model")]),
            (duplicate(5, id="x"), [("service x", "prefix")]),
            (duplicate(6, id="x"), [("limit x", "organisation")]),
            (duplicate(7, id="x"), [("key x", "sha256")]),
            (
                duplicate(2, **pool),
                [
                    ("endpoint_pool other", "endpoints[0].address"),
                    ("endpoint_pool other", "endpoints[0].zone"),
                ],
            ),
            (
                duplicate(2, id="x", pool_kind="plain"),
                [("endpoint_pool x", "endpoints[0].id")],
            ),
        ]
        for change, expected in cases:
            with self.subTest(expected=expected):
                self.assert_faults(change, expected)

    def test_malformed_objects(self):
        for value in (None, 4, [], {}, {"kind": []}, {"kind": "organisation"}):
            with self.subTest(value=value):
                self.assertEqual(len(faults_of([value])[0]), 1)

    def test_malformed_envelopes(self):
        for text in ("[]", "3", "{}", '{"base_revision": -1, "objects": {}}'):
            self.assertTrue(check_set(jsonc.parse(text).unwrap()))


class ConfigurationTests(unittest.TestCase):
    def test_look_ups(self):
        objects = small_objects()
        objects[7]["sha256"] = hashlib.sha256(b"secret").hexdigest()
        configuration = Configuration.from_objects(
            revision=1, objects=check_objects(objects).unwrap()
        )
        self.assertEqual(configuration.organisation_id_for_key("secret"), "org-1")
        self.assertIsNone(configuration.organisation_id_for_key("other\udcff"))
        self.assertEqual(configuration.policy_for_model("lm-pool").id, "to-lm")
        self.assertEqual(configuration.limit_for_organisation("org-1").id, "limit-1")
        self.assertEqual(configuration.service_for_prefix("tent-app").id, "tent")
        self.assertIsNone(configuration.service_for_prefix("nope"))

    def test_records_round_trip(self):
        objects = check_objects(small_objects()).unwrap()
        records = json.loads(json.dumps([to_record(item) for item in objects]))
        self.assertEqual(check_objects(records).unwrap(), objects)


if __name__ == "__main__":
    unittest.main()
