from __future__ import annotations

import unittest
from collections import Counter

from crocuswick.cache_owner import cache_owner, endpoints_to_read

NODES = [f"node-{number}" for number in range(26)]
ENDPOINTS = [f"engine-{number}" for number in range(207)]


class CacheOwnerTests(unittest.TestCase):
    def test_few_endpoints_are_read_by_all(self):
        read = endpoints_to_read(
            node_id="node-1", endpoint_ids=ENDPOINTS[:6], live_node_ids=NODES
        )
        self.assertEqual(read, frozenset(ENDPOINTS[:6]))

    def test_each_endpoint_has_one_owner(self):
        readers = Counter()
        for node_id in NODES:
            readers.update(
                endpoints_to_read(
                    node_id=node_id, endpoint_ids=ENDPOINTS, live_node_ids=NODES
                )
            )
        self.assertEqual(readers, Counter(ENDPOINTS))

    def test_a_lost_node_moves_only_its_own_endpoints(self):
        for endpoint_id in ENDPOINTS:
            before = cache_owner(endpoint_id, live_node_ids=NODES)
            after = cache_owner(endpoint_id, live_node_ids=NODES[1:])
            if before != NODES[0]:
                self.assertEqual(before, after)

    def test_no_nodes(self):
        self.assertIsNone(cache_owner("engine-1", live_node_ids=[]))


if __name__ == "__main__":
    unittest.main()
