"""Builds the components of a ``crocuswickd`` node and connects them."""

from __future__ import annotations

import os
import random
import time
from pathlib import Path
from typing import TYPE_CHECKING

import logbook

from crocuswick.application import Application
from crocuswick.byte_budget import ByteBudget
from crocuswick.callers import (
    CallersInterface,
    CompletionContext,
    ServiceContext,
    callers_application,
)
from crocuswick.configuration import ConfigurationStore
from crocuswick.dispatcher import Dispatcher
from crocuswick.draining import ACCEPT_DURATION_S, PlannedStop
from crocuswick.endpoints import EngineClients, EngineWatchers
from crocuswick.fleet_member import FleetMember
from crocuswick.http_server import HttpServer
from crocuswick.limits import Admission
from crocuswick.metrics import Metrics
from crocuswick.nodes import NodeLiveness, NodePhase, PeerKeys, read_key_file
from crocuswick.operators import AdminProviders, admin_application
from crocuswick.placement import Placer
from crocuswick.platform_log import ClaimRegistry
from crocuswick.quarantine import Quarantine
from crocuswick.resume_token import ResumeTokens
from crocuswick.rollout_controller import RolloutController
from crocuswick.served_configuration import ServedConfiguration
from crocuswick.time_line import TimeLine

if TYPE_CHECKING:
    from result import Result

    from crocuswick.configuration import Configuration, ObjectSet, Verdict
    from crocuswick.errors import PeerError
    from crocuswick.rollout import Rollout
    from crocuswick.settings import Settings
    from crocuswick.time_line import TimeLineEvent

__all__ = ["Node"]

logger = logbook.Logger(__name__)

FIRST_REPORT_TIMEOUT_S = 1.0
"""Time after the first configuration for which a node waits to learn the state of an
endpoint; after that it is ready without it."""

EXIT_REQUESTS_CUT = 3
"""Exit code after a drain that cut off requests."""

OPERATOR_THREADS = 8
READY_STATE = "ready"
UNKNOWN_STATE = "unknown"
DRAIN_POLL_S = 0.05
DRAIN_IDLE_S = 0.3
"""Time without a request in flight after which a draining node stops."""


class Node:
    """All components of one daemon.

    Args:
        settings: Validated settings, with resolved file names.
    """

    def __init__(self, *, settings: Settings):
        self._settings = settings
        self._draining = False
        self._endpoints_reported = False
        self._configured_at_s = 0.0
        self.application = Application()
        self._stop = PlannedStop()
        keys = self._read_keys()
        self._peer_keys = PeerKeys(keys=keys)
        self._resume_tokens = ResumeTokens(keys=keys)
        self._time_line = TimeLine(
            node_id=settings.node_id,
            capacity=settings.time_line.capacity,
            clock_error_ms=settings.time_line.clock_error_ms,
        )
        self._metrics = Metrics(node_id=settings.node_id)
        self._build_request_path()
        self._build_fleet_member()
        self._build_callers_server()
        self._build_operators_server()
        self._register_hooks()

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts new requests."""
        if self._draining or self._served_configuration.current.revision == 0:
            return False
        self._endpoints_reported = (
            self._endpoints_reported or self._has_endpoint_reports()
        )
        return self._endpoints_reported

    def _has_endpoint_reports(self) -> bool:
        """Return whether an endpoint has reported or the wait for one timed out."""
        elapsed_s = time.monotonic() - self._configured_at_s
        if self._configured_at_s and elapsed_s > FIRST_REPORT_TIMEOUT_S:
            return True
        statuses = self._dispatcher.ask(Dispatcher.DescribeEndpoints())
        return any(status.state != UNKNOWN_STATE for status in statuses)

    def _read_keys(self) -> list[bytes]:
        keys = read_key_file(Path(self._settings.nodes.key_file))
        if keys.is_err():
            raise ValueError(str(keys.err_value))
        return keys.ok_value

    def _reload(self) -> None:
        """Reload the key and certificate files."""
        keys = self._read_keys()
        self._peer_keys.replace(keys)
        self._resume_tokens.replace(keys)
        self._callers_server.reload_certificate()
        self._time_line.record(kind="keys_reloaded")
        logger.info("keys and certificates reloaded")

    def run(self) -> None:
        """Run until shutdown."""
        self.application.run()

    def _build_request_path(self) -> None:
        settings = self._settings
        self._dispatcher = Dispatcher.start(
            placer=Placer(
                zone=settings.zone,
                policy=settings.endpoints.placement,
                seed=random.SystemRandom().getrandbits(32),
            ),
            admission=Admission(capacity=settings.callers.max_in_flight),
            quarantine=Quarantine(),
            byte_budget=ByteBudget(capacity_bytes=settings.callers.max_buffered_bytes),
            time_line=self._time_line,
            broadcast_crash_report=lambda report: (
                self._fleet_member.broadcast_crash_report(report)
            ),
        )
        self._clients = EngineClients(
            progress_timeout_s=settings.endpoints.progress_timeout_ms / 1000,
            on_stream=self._stop.calls.add,
        )
        self._watchers = EngineWatchers.start(
            clients=self._clients,
            dispatcher=self._dispatcher,
            time_line=self._time_line,
        )
        log = settings.platform_log
        self._configuration_store = ConfigurationStore(
            log_address=log.address,
            on_change=self._on_configuration,
            append_timeout_ms=log.timeout_ms,
        )
        self._claims = ClaimRegistry(log_address=log.address, node_id=settings.node_id)
        self._rollout_controller = RolloutController(
            log_address=log.address,
            node_id=settings.node_id,
            configuration=lambda: self._configuration_store.current,
            on_rollout=self._on_rollout,
        )
        self._served_configuration = ServedConfiguration(
            configuration_store=self._configuration_store,
            rollout_controller=self._rollout_controller,
            dispatcher=self._dispatcher,
        )
        for component in (
            self._configuration_store,
            self._claims,
            self._rollout_controller,
            self._served_configuration,
        ):
            self.application.add(component)

    def _build_fleet_member(self) -> None:
        self._fleet_member = FleetMember(
            settings=self._settings,
            keys=self._peer_keys,
            configuration_store=self._configuration_store,
            dispatcher=self._dispatcher,
            time_line=self._time_line,
            phase=self._phase,
            on_leaving=self.application.request_shutdown,
        )
        self.application.add(self._fleet_member)

    def _phase(self) -> NodePhase:
        if self._draining:
            return NodePhase.DRAINING
        return NodePhase.READY if self.is_ready else NodePhase.STARTING

    def _build_callers_server(self) -> None:
        callers = self._settings.callers
        interface = CallersInterface(
            completions=CompletionContext(
                dispatcher=self._dispatcher,
                clients=self._clients,
                resume_tokens=self._resume_tokens,
                time_line=self._time_line,
                metrics=self._metrics,
                served_version=self._served_version,
                stop=self._stop,
            ),
            services=ServiceContext(
                dispatcher=self._dispatcher,
                claims=self._claims,
                metrics=self._metrics,
                time_line=self._time_line,
                zone=self._settings.zone,
                stop=self._stop,
            ),
            configuration=lambda: self._served_configuration.current,
            ready=lambda: self.is_ready,
            max_body_bytes=callers.max_body_bytes,
            stop=self._stop,
        )
        self._callers_server = HttpServer(
            host=callers.host,
            port=callers.port,
            application=callers_application(interface),
            threads=callers.max_in_flight + callers.refusal_threads,
            idle_timeout_s=callers.idle_timeout_ms / 1000,
            max_waiting_bytes=callers.max_body_bytes,
            max_received_bytes=callers.max_buffered_bytes,
            answer_deadline=self._stop.deadline,
            certificate_file=callers.tls_certificate_file,
            key_file=callers.tls_key_file,
        )
        self.application.add(self._callers_server)

    def _served_version(self, model: str) -> str:
        configuration = self._served_configuration.latest()
        policy = configuration.policy_for_model(model)
        if policy is None:
            return ""
        return configuration.model_versions_by_id[policy.model_version].weights_version

    def _build_operators_server(self) -> None:
        operators = self._settings.operators
        providers = AdminProviders(
            configuration=lambda: self._configuration_store.current,
            submit=self._submit,
            nodes=self._fleet_member.nodes,
            endpoints=lambda: self._dispatcher.ask(Dispatcher.DescribeEndpoints()),
            explain=self._explain,
            time_line=self._fleet_member.collect_time_lines,
            drain=self.application.request_shutdown,
            secret=lambda: Path(operators.key_file).read_bytes().strip(),
            recover=self._configuration_store.recover,
        )
        self.application.add(
            HttpServer(
                host=operators.host,
                port=operators.port,
                application=admin_application(providers),
                threads=OPERATOR_THREADS,
            )
        )

    def _submit(
        self, wanted: ObjectSet, submission_id: str, author: str
    ) -> Result[Verdict, PeerError]:
        return self._configuration_store.submit(
            wanted, submission_id=submission_id, author=author
        )

    def _explain(self, request_id: str) -> tuple[TimeLineEvent, ...]:
        return tuple(
            event
            for event in self._fleet_member.collect_time_lines()
            if event.subject.startswith(request_id)
        )

    def _register_hooks(self) -> None:
        self._metrics.on_render(self._set_gauges)
        self.application.on_start(self._report_ready)
        self.application.on_reload(self._reload)
        self.application.on_drain(self._drain)

    def _set_gauges(self) -> None:
        """Set the gauges that are computed when the metrics are rendered."""
        statuses = self._dispatcher.ask(Dispatcher.DescribeEndpoints())
        metrics = self._metrics
        metrics.streams.set({}, self._in_flight())
        metrics.endpoints_ready.set(
            {}, sum(status.state == READY_STATE for status in statuses)
        )
        metrics.index_in_sync.set({}, sum(status.index_in_sync for status in statuses))
        metrics.index_blocks.set({}, sum(status.indexed_blocks for status in statuses))
        live = [
            status
            for status in self._fleet_member.nodes()
            if status.liveness is NodeLiveness.LIVE
        ]
        metrics.nodes_live.set({}, len(live))
        counters = self._fleet_member.membership.counters
        metrics.heartbeat_bytes.set({"direction": "sent"}, counters.sent_bytes)
        metrics.heartbeat_bytes.set({"direction": "received"}, counters.received_bytes)

    def _report_ready(self) -> None:
        self._time_line.record(kind="node_started", subject=self._settings.node_id)
        logger.info("{} serves requests on {}", self._settings.node_id, self.address)
        print(f"ready {self.address}", flush=True)

    @property
    def address(self) -> str:
        """``host:port`` of the callers' port."""
        return self._callers_server.address

    def _on_configuration(self, configuration: Configuration) -> None:
        self._configured_at_s = self._configured_at_s or time.monotonic()
        self._metrics.revision.set({}, configuration.revision)
        self._time_line.record(
            kind="configuration_in_force", subject=f"revision {configuration.revision}"
        )
        logger.info("configuration revision {} in force", configuration.revision)
        self._watchers.tell(
            EngineWatchers.ConfigurationChanged(configuration=configuration)
        )
        self._dispatcher.tell(Dispatcher.SetLimits(configuration=configuration))

    def _on_rollout(self, rollout: Rollout) -> None:
        self._time_line.record(
            kind="rolled_back" if rollout.is_rolled_back else "rollout_began",
            subject=f"{rollout.pool}/{rollout.model}",
            detail=f"{rollout.old_version} to {rollout.new_version}",
        )

    def _drain(self) -> None:
        """Answer the requests in flight, and for a while new ones.

        For a moment, the balancer and callers with open connections still send requests.
        """
        self._draining = True
        self._stop.begin(self._settings.shutdown.hard_deadline_ms / 1000)
        self._fleet_member.membership.announce()
        in_flight = self._in_flight()
        self._time_line.record(kind="drain_began", detail=f"{in_flight} in flight")
        logger.info("draining, {} requests in flight", in_flight)
        cut = self._wait_until_idle()
        self._time_line.record(kind="drain_ended", detail=f"{cut} cut")
        logger.info("drained, {} requests cut", cut)
        if cut:
            self._fleet_member.stop()
            # Threads that still serve the cut requests would delay the exit.
            os._exit(EXIT_REQUESTS_CUT)

    def _wait_until_idle(self) -> int:
        """Wait for the requests in flight and return how many are cut off."""
        began_s = time.monotonic()
        deadline_s = began_s + self._settings.shutdown.hard_deadline_ms / 1000
        idle_since_s = began_s
        cut = 0
        while True:
            now_s = time.monotonic()
            in_flight = self._in_flight()
            if in_flight:
                idle_since_s = now_s
            if now_s - idle_since_s >= DRAIN_IDLE_S:
                return cut
            if now_s >= deadline_s or self.application.shutdown_forced.is_set():
                return max(cut, in_flight)
            if now_s - began_s >= ACCEPT_DURATION_S:
                self._refuse_requests()
            if self._stop.deadline.has_passed and not cut:
                cut = in_flight
                self._refuse_requests()
                self._stop.calls.abort()
            time.sleep(DRAIN_POLL_S)

    def _refuse_requests(self) -> None:
        self._dispatcher.ask(Dispatcher.Drain())
        self._callers_server.refuse_requests()

    def _in_flight(self) -> int:
        return self._dispatcher.ask(Dispatcher.CountInFlight())
