"""Metrics of a node, exposed in the Prometheus text format."""

from __future__ import annotations

import threading
from collections import Counter as Counts
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry, render

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

__all__ = ["MetricRegistry", "Metrics", "ThreadedCounter"]

TTFT_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0)


class ThreadedCounter:
    """A counter that any thread may increment.

    Each thread has its own counts, which are summed when the counter is published: the
    library's counters lose increments when two threads add at once.

    Args:
        counter: Exposed counter that receives the sums.
    """

    def __init__(self, *, counter: Counter):
        self._counter = counter
        self._local = threading.local()
        self._thread_counts: list[Counts] = []

    def inc(self, labels: Mapping[str, str]) -> None:
        """Increment the counter by one."""
        self.add(labels, 1)

    def add(self, labels: Mapping[str, str], value: int) -> None:
        """Increment the counter by a non-negative number."""
        counts = getattr(self._local, "counts", None)
        if counts is None:
            counts = self._local.counts = Counts()
            self._thread_counts.append(counts)
        counts[tuple(labels.items())] += value

    def publish(self) -> None:
        """Write the sums to the exposed counter."""
        total: Counts = Counts()
        for counts in list(self._thread_counts):
            # Copying a dictionary is atomic in CPython; iterating over one is not.
            total.update(dict(counts))
        for labels, value in total.items():
            self._counter.set(dict(labels), value)


class MetricRegistry:
    """Registry of a node's metrics, with their exposition.

    Args:
        node_id: Value of the ``node`` label.
    """

    def __init__(self, *, node_id: str):
        self._registry = Registry()
        self._threaded: list[ThreadedCounter] = []
        self._render_hooks: list[Callable[[], None]] = []
        self._labels = {"node": node_id}

    def on_render(self, hook: Callable[[], None]) -> Callable[[], None]:
        """Register a hook that updates gauges before each exposition."""
        self._render_hooks.append(hook)
        return hook

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Return the exposition and its HTTP headers.

        Args:
            accept: Value of the ``Accept`` header.
        """
        for hook in self._render_hooks:
            hook()
        for counter in self._threaded:
            counter.publish()
        return render(self._registry, [accept] if accept else [])

    def _counter(self, name: str, doc: str) -> ThreadedCounter:
        exposed = Counter(name, doc, const_labels=self._labels, registry=self._registry)
        counter = ThreadedCounter(counter=exposed)
        self._threaded.append(counter)
        return counter

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, const_labels=self._labels, registry=self._registry)

    def _histogram(self, name: str, doc: str, buckets: Sequence[float]) -> Histogram:
        return Histogram(
            name,
            doc,
            const_labels=self._labels,
            buckets=list(buckets),
            registry=self._registry,
        )


class Metrics(MetricRegistry):
    """All metrics of a node, in their own registry.

    Args:
        node_id: Value of the ``node`` label.
    """

    def __init__(self, *, node_id: str):
        super().__init__(node_id=node_id)
        self.requests = self._counter(
            "crocuswick_requests_total", "Requests by route and status."
        )
        self.refusals = self._counter(
            "crocuswick_refusals_total", "Refusals by title and outcome."
        )
        self.retries = self._counter(
            "crocuswick_retries_total", "Further attempts by cause."
        )
        self.stream_faults = self._counter(
            "crocuswick_stream_faults_total", "Faults seen in answer streams."
        )
        self.prompt_tokens = self._counter(
            "crocuswick_prompt_tokens_total", "Prompt tokens sent to engines."
        )
        self.cached_tokens = self._counter(
            "crocuswick_cached_prompt_tokens_total",
            "Prompt tokens that engines found in their cache.",
        )
        self.streams = self._gauge(
            "crocuswick_streams_in_flight", "Requests in flight."
        )
        self.revision = self._gauge(
            "crocuswick_configuration_revision", "Revision in force."
        )
        self.endpoints_ready = self._gauge(
            "crocuswick_endpoints_ready", "Engines that take work."
        )
        self.index_in_sync = self._gauge(
            "crocuswick_cache_index_in_sync",
            "Engines whose cache events are all known.",
        )
        self.index_blocks = self._gauge(
            "crocuswick_cache_index_blocks", "Blocks in the cache index."
        )
        self.nodes_live = self._gauge(
            "crocuswick_nodes_live", "Nodes that are believed live."
        )
        self.heartbeat_bytes = self._gauge(
            "crocuswick_heartbeat_bytes", "Bytes of heartbeats since the start."
        )
        self.ttft = self._histogram(
            "crocuswick_time_to_first_token_seconds",
            "Time to first token.",
            TTFT_BUCKETS_S,
        )

    def record_prefill(self, *, prompt_tokens: int, cached_tokens: int) -> None:
        """Count the prompt tokens of one attempt.

        Args:
            prompt_tokens: Tokens of the prompt.
            cached_tokens: Prompt tokens found in the engine's cache.
        """
        self.prompt_tokens.add({}, prompt_tokens)
        self.cached_tokens.add({}, cached_tokens)
