"""Tests of the continuous reading of a topic."""

from __future__ import annotations

import threading
import unittest
from unittest import mock

from result import Ok

from crocuswick.records.mirror import TopicUpdate
from crocuswick.records.reader import TopicReader

TOPIC = "t"


class Cache:
    """Record cache that knows nothing yet."""

    def ask(self, _message):
        return -1


class TopicReaderTests(unittest.TestCase):
    def test_an_unexpected_error_does_not_end_the_reading(self):
        """Otherwise the node never learns of a later configuration."""
        was_read = threading.Event()
        store = mock.Mock()
        store.list_newest.side_effect = [
            RuntimeError("unexpected"),
            *[Ok(TopicUpdate(topic=TOPIC, records=(), end=0))] * 100,
        ]
        reader = TopicReader(
            topic=TOPIC,
            store=store,
            record_cache=Cache(),
            wait_s=lambda: 0.01,
            read_pause_s=0.05,
            should_read=lambda: True,
            on_read=lambda _topic: was_read.set(),
            log=mock.Mock(),
        )
        reader.start()
        self.addCleanup(reader.stop)
        self.assertTrue(was_read.wait(5))
