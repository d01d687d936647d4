"""Metrics of a fleet node."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from crocuswick.metrics import MetricRegistry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["FleetMetrics"]

SECONDS_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)
"""Upper bounds of the histogram buckets, in seconds; no two of the users' response-time
objectives fall into the same bucket."""

EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class FleetMetrics(MetricRegistry):
    """Counts requests and the attempts that serve them, by result."""

    def __init__(self, *, node_id: str):
        super().__init__(node_id=node_id)
        self._lock = threading.Lock()
        self.requests = self._counter(
            "crocuswick_requests_total", "Relayed requests by route and outcome."
        )
        self.attempts = self._counter(
            "crocuswick_attempts_total", "Attempts at replicas by result."
        )
        self.retries = self._counter(
            "crocuswick_retries_total",
            "Requests sent to a further replica, by service and by the result of the"
            " attempt before.",
        )
        self.refusals = self._counter("crocuswick_refusals_total", "Refusals by title.")
        self.admission = self._counter(
            "crocuswick_admission_total",
            "Decisions to hold or refuse a request under load, by verdict, cause and kind.",
        )
        self.prefill_tokens = self._counter(
            "crocuswick_prefill_tokens_total",
            "Prompt tokens that engines are expected to compute.",
        )
        self.in_flight = self._gauge(
            "crocuswick_requests_in_flight", "Requests under way."
        )
        self.is_ready = self._gauge(
            "crocuswick_ready", "Whether the node takes new work."
        )
        self.configuration = self._gauge(
            "crocuswick_configuration_version", "Version in force."
        )
        self.nodes_live = self._gauge(
            "crocuswick_nodes_live", "Nodes that are heard, this one included."
        )
        self.gossip_messages = self._counter(
            "crocuswick_gossip_messages_total",
            "Gossip messages queued for single peers, by kind.",
        )
        self.gossip_bytes = self._counter(
            "crocuswick_gossip_bytes_total",
            "Bytes of gossip messages queued for single peers, by kind.",
        )
        self.gossip_dropped = self._counter(
            "crocuswick_gossip_dropped_total",
            "Gossip messages that a peer was not sent for lack of a connection or because"
            " its queue is full, by kind.",
        )
        self.quota_admitted = self._counter(
            "crocuswick_quota_admitted_total",
            "Requests or tokens charged to an organisation's quota at this node.",
        )
        self.quota_credited = self._counter(
            "crocuswick_quota_credited_total",
            "Requests or tokens credited again, because the request has not run.",
        )
        self.quota_refusals = self._counter(
            "crocuswick_quota_refusals_total",
            "Requests refused by a quota, by organisation and cause.",
        )
        self.quota_level = self._gauge(
            "crocuswick_quota_level",
            "Estimated level of the fleet's bucket, by organisation.",
        )
        self.quota_nodes = self._gauge(
            "crocuswick_quota_nodes",
            "Nodes that share the quotas: heard lately, and known in all.",
        )
        self.log_lines_dropped = self._gauge(
            "crocuswick_log_lines_dropped", "Log lines dropped since the start."
        )
        self.held_bytes = self._gauge(
            "crocuswick_held_bytes", "Bytes held for callers and replicas, by kind."
        )
        self.held_bytes_limit = self._gauge(
            "crocuswick_held_bytes_limit", "Maximum of all held bytes."
        )
        self.connections = self._gauge(
            "crocuswick_caller_connections", "Open connections of callers, by phase."
        )
        self.intake_refusals = self._gauge(
            "crocuswick_intake_refusals",
            "Incomplete requests refused and connections closed since the start, by"
            " cause.",
        )
        self._request_seconds = self._histogram(
            "crocuswick_request_seconds",
            "Time from the arrival of a request to the end of its answer.",
            SECONDS_BUCKETS,
        )
        self._first_event_seconds = self._histogram(
            "crocuswick_first_event_seconds",
            "Time from the sending of a stream's request to its first event.",
            SECONDS_BUCKETS,
        )

    def observe_request(self, route: str, outcome: str, seconds: float) -> None:
        """Count a request that has ended."""
        self.requests.inc({"route": route, "outcome": outcome})
        with self._lock:
            self._request_seconds.observe({}, seconds)

    def observe_attempt(self, result: str, first_event_s: float | None) -> None:
        """Count an attempt that has ended."""
        self.attempts.inc({"result": result})
        if first_event_s is not None:
            with self._lock:
                self._first_event_seconds.observe({}, first_event_s)

    def observe_gossip(
        self, kind: str, receivers: int, message_bytes: int, dropped: int
    ) -> None:
        """Count a gossip message.

        Args:
            kind: Kind of message, as on the wire.
            receivers: Number of peers to which it is sent.
            message_bytes: Size for one peer.
            dropped: Number of peers that it can't be sent to.
        """
        self.gossip_messages.add({"kind": kind}, receivers)
        self.gossip_bytes.add({"kind": kind}, receivers * message_bytes)
        if dropped:
            self.gossip_dropped.add({"kind": kind}, dropped)

    def page(self, _environment: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve the metrics page as a WSGI application."""
        body, _ = self.render()
        start_response(
            "200 OK",
            [("Content-Type", EXPOSITION_TYPE), ("Content-Length", str(len(body)))],
        )
        return [body]
