"""One node of a fleet: builds its components and connects them."""

from __future__ import annotations

import os
import threading
import time
from typing import TYPE_CHECKING

import logbook

from crocuswick.actor import Tickers
from crocuswick.application import Application
from crocuswick.boot_clock import boot_clock_s
from crocuswick.byte_budget import ByteBudget
from crocuswick.crash_records import CrashRecords
from crocuswick.decision_log import DecisionLog
from crocuswick.draining import (
    AnswerDeadline,
    AnswerTimes,
    DrainProgress,
    DrainStep,
)
from crocuswick.elastic_threads import ElasticThreads
from crocuswick.fleet_gossip import FleetGossip
from crocuswick.fleet_metrics import FleetMetrics
from crocuswick.fleet_platform import TargetWeights
from crocuswick.fleet_reload import RELOAD_INTERVAL_S, SettingsReload
from crocuswick.gossip.messages import WeightsServed
from crocuswick.gossip.registry import NodeRegistry
from crocuswick.gossip.service import TICK_S
from crocuswick.host_port import HostPort
from crocuswick.http_server import HttpServer
from crocuswick.intake import max_connections
from crocuswick.pause_watch import PauseWatch
from crocuswick.quota import QuotaBounds
from crocuswick.quota.quota_gate import TICK_S as QUOTA_TICK_S
from crocuswick.quota.quota_gate import QuotaGate
from crocuswick.records.reader import TopicReader
from crocuswick.records.record_cache import RecordCache
from crocuswick.relay import dispatcher_messages
from crocuswick.relay.caller_watch import CallerWatch
from crocuswick.relay.dispatcher import RelayDispatcher
from crocuswick.relay.kv_warm_up import KvWarmUp
from crocuswick.relay.pressure_gate import PressureGate
from crocuswick.relay.relay_context import RelayContext
from crocuswick.relay.relay_server import RelayServer
from crocuswick.relay.serving import CallerLimits, ServingConfiguration
from crocuswick.relay.stall_watch import CHECK_INTERVAL_S, StallWatch
from crocuswick.rollouts.driver import VERSION_CHECK_INTERVAL_S, RolloutDriver

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from result import Result

    from crocuswick.fleet_platform import FleetPlatform
    from crocuswick.fleet_settings import FleetSettings
    from crocuswick.records.mirror import KeyedRecord
    from crocuswick.relay.engine_state import EngineState
    from crocuswick.relay.replica import Availability, Replica

__all__ = ["FleetNode"]

logger = logbook.Logger(__name__)

CALLER_THREADS = 192
"""Requests served concurrently; further ones are not read until a thread is free."""

CALL_THREADS = 8
"""Calls to engines and KV-cache stores made concurrently, apart from orders."""

ORDERS_TASK = "orders"
ROLLOUT_TICK_S = 0.1
PAUSE_TICK_S = 0.2
SEGMENTS_INTERVAL_S = 0.2
"""Interval at which the segments of small prompts are sent to peers. A segment is
reused only seconds later, so peers receive it in time."""

READINESS_THREADS = 2
METRICS_THREADS = 1
READINESS_CONNECTIONS = 32
METRICS_CONNECTIONS = 16
SMALL_PORT_BYTES = 1024 * 1024
"""Bytes of all requests that arrive at the port for readiness or for metrics."""

OPERATIONS_READ_PAUSE_S = 0.02
REPLICAS_READ_PAUSE_S = 0.4
"""Pause between reads of the replicas' entries; a fifth of the time after which a
removed replica must no longer be used."""

DRAIN_POLL_S = 0.02

RETURN_S = 2.0
"""Time after the first read that follows a store outage, from which a removal takes effect.
A replica whose entry was removed during the outage writes it again within two seconds of
the store's return, and the first read is some tenths of a second later than that."""


class FleetNode:
    """All components of a fleet node.

    Args:
        settings: Checked settings.
        platform: Adapter of the platform.
        load_settings: Reads the settings again.
    """

    def __init__(
        self,
        *,
        settings: FleetSettings,
        platform: FleetPlatform,
        load_settings: Callable[[], Result[FleetSettings, list[str]]],
    ):
        self._settings = settings
        self._platform = platform
        self._configuration: ServingConfiguration | None = None
        self._replicas_known = False
        self._is_draining = False
        self._byte_budget = ByteBudget.of_node(settings.memory_mb)
        self.application = Application()
        self._log = DecisionLog(node_id=settings.node_id)
        self._metrics = FleetMetrics(node_id=settings.node_id)
        self.application.add(self._log)
        self._pauses = PauseWatch(boot_clock_s())
        self._answer_deadline = AnswerDeadline()
        self._stalls = StallWatch(self._answer_deadline)
        self._calls = ElasticThreads(name="calls", max_threads=CALL_THREADS)
        self._dispatcher = RelayDispatcher.start(
            zone=settings.zone,
            bounds=settings.bounds,
            broadcast=lambda gossip: self._gossip.broadcast(gossip),
            on_unknown_weights=self._query_weights,
            store_crashes=lambda key, crashes: self._crash_records.write(key, crashes),
            log=self._log,
            is_first_start=settings.is_first_start,
            gate=(
                PressureGate(log=self._log, metrics=self._metrics)
                if settings.admits_by_room
                else None
            ),
        )
        self._record_cache = RecordCache.start(
            on_record=self._on_record,
            on_update=lambda update: self._gossip.broadcast_records(update),
            version_of=platform.record_version,
        )
        topics = platform.topics
        self._gossip = FleetGossip(
            settings=settings,
            record_cache=self._record_cache,
            dispatcher=self._dispatcher,
            log=self._log,
            metrics=self._metrics,
            on_engine_active=lambda engine: self._stalls.record_activity(engine, None),
            topics=(topics.operations, topics.replicas),
            zonal_topic=topics.replicas,
            era=platform.store_era,
        )
        self._quotas = QuotaGate(
            node_id=settings.node_id,
            bounds=_quota_bounds(settings),
            is_first_start=settings.is_first_start,
            publish=self._gossip.broadcast,
            log=self._log,
            metrics=self._metrics,
        )
        self._gossip.set_quotas(self._quotas)
        self.application.add(self._gossip)
        registry = NodeRegistry(
            own=self._gossip.own,
            topic=topics.nodes,
            store=platform.open_store(),
            on_nodes=self._gossip.add_nodes,
        )
        platform.store_era.on_step(lambda _era: registry.write_again())
        self.application.add(registry)
        self._crash_records = CrashRecords(
            topic=topics.crashes,
            store=platform.open_store(),
            dispatcher=self._dispatcher,
            hears_peers=lambda: (
                self._gossip.live_nodes > 1 or self._gossip.known_nodes == 1
            ),
            log=self._log,
        )
        self.application.add(self._crash_records)
        self._warm_up = KvWarmUp(
            events=platform.kv_events,
            dispatcher=self._dispatcher,
            threads=self._calls,
            node_count=lambda: self._gossip.known_nodes,
            log=self._log,
        )
        self._build_rollouts()
        self._build_readers()
        self._build_servers()
        self.application.on_start(self._log_start)
        reload = SettingsReload(
            settings=settings,
            load=load_settings,
            on_change=self._apply_settings,
            log=self._log,
        )
        self._build_tickers(reload)
        self.application.on_reload(reload.check)
        self.application.on_drain(self._drain)

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts new requests."""
        return (
            not self._is_draining
            and self._configuration is not None
            and self._replicas_known
            and self._quotas.is_settled
        )

    def run(self) -> None:
        """Run until shutdown."""
        self.application.run()

    def _build_rollouts(self) -> None:
        bounds = self._settings.bounds
        self._platform.engine_orders.on_availability(self._on_availability)
        self._rollout_active = threading.Event()
        self._driver = RolloutDriver.start(
            node_id=self._settings.node_id,
            topic=self._platform.topics.leases,
            handover_s=bounds.lease_ms / 1000,
            store=self._platform.open_store(),
            era=self._platform.store_era,
            orders=self._platform.engine_orders,
            engines=self._engines,
            rank=lambda: self._gossip.rank(ORDERS_TASK),
            is_active=self._rollout_active,
            publish=self._gossip.publish,
            log=self._log,
        )
        self._gossip.set_driver(self._driver)

    def _build_tickers(self, reload: SettingsReload) -> None:
        tickers = Tickers()
        tickers.add("settings", RELOAD_INTERVAL_S, reload.check)
        tickers.add("gossip", TICK_S, self._gossip.tick)
        tickers.add("quotas", QUOTA_TICK_S, self._quotas.tick)
        tickers.add("segments", SEGMENTS_INTERVAL_S, self._publish_segments)
        tickers.add("rollouts", ROLLOUT_TICK_S, self._tick_active_rollout)
        tickers.add("rollout check", VERSION_CHECK_INTERVAL_S, self._tick_rollout)
        tickers.add(
            "stalls", CHECK_INTERVAL_S, lambda: self._stalls.check(time.monotonic())
        )
        tickers.add("pauses", PAUSE_TICK_S, lambda: self._pauses.tick(boot_clock_s()))
        self.application.add(tickers)

    def _on_availability(self, replica: Replica, availability: Availability) -> None:
        self._dispatcher.tell(
            dispatcher_messages.AvailabilityChanged(
                incarnation=replica.incarnation, availability=availability
            )
        )

    def _tick_active_rollout(self) -> None:
        if self._rollout_active.is_set():
            self._tick_rollout()

    def _tick_rollout(self) -> None:
        self._driver.tell(RolloutDriver.Tick())

    def _publish_segments(self) -> None:
        self._dispatcher.tell(dispatcher_messages.BroadcastSmallPrompts())

    def _engines(self) -> list[EngineState]:
        return self._dispatcher.ask(dispatcher_messages.GetEngineStates())

    def _query_weights(self, replica_id: str) -> None:
        """Query the weights that an engine serves, on a separate thread."""
        self._calls.submit(self._fetch_weights, replica_id)

    def _fetch_weights(self, replica_id: str) -> None:
        for engine in self._engines():
            if engine.replica.id != replica_id or engine.unwanted_for_s:
                continue
            report = self._platform.engine_orders.report(engine.replica)
            if report.is_err():
                self._log.record_state("report failed", error=str(report.err_value))
                continue
            for model, version in report.ok_value.weights_by_model.items():
                self._gossip.publish(
                    WeightsServed(
                        incarnation=engine.replica.incarnation,
                        model=model,
                        version=version,
                    )
                )

    def _build_readers(self) -> None:
        topics = self._platform.topics
        self.application.add(self._reader(topics.operations, OPERATIONS_READ_PAUSE_S))
        self.application.add(self._reader(topics.replicas, REPLICAS_READ_PAUSE_S))

    def _reader(self, topic: str, read_pause_s: float) -> TopicReader:
        return TopicReader(
            topic=topic,
            store=self._platform.open_store(),
            record_cache=self._record_cache,
            wait_s=lambda: self._gossip.read_wait_s(read_pause_s),
            read_pause_s=read_pause_s,
            should_read=lambda: self._gossip.is_reader(topic),
            on_read=self._gossip.record_read,
            log=self._log,
        )

    def _build_servers(self) -> None:
        watch = CallerWatch()
        self._relay_server = RelayServer(
            address=self._settings.callers_address,
            context=RelayContext(
                dispatcher=self._dispatcher,
                dialect=self._platform.dialect,
                stalls=self._stalls,
                answer_deadline=self._answer_deadline,
                answer_times=AnswerTimes(),
                byte_budget=self._byte_budget,
                log=self._log,
                metrics=self._metrics,
                quotas=self._quotas,
            ),
            watch=watch,
            configuration=lambda: self._configuration,
            threads=CALLER_THREADS,
            buffers_answers=self._settings.memory_mb > 0,
            max_connections=max_connections(self._settings.max_descriptors),
        )
        self._relay_server.set_limits(CallerLimits())
        listen = HostPort.parse(self._settings.readiness_address)
        readiness = HttpServer(
            host=listen.host,
            port=listen.port,
            application=self._readiness_page,
            threads=READINESS_THREADS,
            max_waiting_bytes=SMALL_PORT_BYTES,
            max_received_bytes=SMALL_PORT_BYTES,
            max_connections=READINESS_CONNECTIONS,
        )
        for component in (watch, self._relay_server, readiness):
            self.application.add(component)
        if self._settings.metrics_port:
            self._metrics.on_render(self._set_gauges)
            self.application.add(
                HttpServer(
                    host=listen.host,
                    port=self._settings.metrics_port,
                    application=self._metrics.page,
                    threads=METRICS_THREADS,
                    max_waiting_bytes=SMALL_PORT_BYTES,
                    max_received_bytes=SMALL_PORT_BYTES,
                    max_connections=METRICS_CONNECTIONS,
                )
            )

    def _set_gauges(self) -> None:
        metrics = self._metrics
        metrics.in_flight.set({}, self._relay_server.in_flight)
        metrics.is_ready.set({}, int(self.is_ready))
        metrics.nodes_live.set({}, self._gossip.live_nodes)
        metrics.log_lines_dropped.set({}, self._log.total_dropped)
        for kind, held_bytes in self._byte_budget.held_bytes_by_kind.items():
            metrics.held_bytes.set({"kind": kind}, held_bytes)
        metrics.held_bytes_limit.set({}, self._byte_budget.capacity_bytes)
        for phase, count in self._relay_server.connections_by_phase.items():
            metrics.connections.set({"phase": phase}, count)
        for cause, count in self._relay_server.intake_refusals_by_cause.items():
            metrics.intake_refusals.set({"cause": cause}, count)
        self._quotas.set_gauges()
        if self._configuration is not None:
            metrics.configuration.set({}, self._configuration.version)

    def _readiness_page(
        self, _environment: dict, start_response: Callable
    ) -> Iterable[bytes]:
        status = "200 OK" if self.is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def _log_start(self) -> None:
        self._log.record_state("started", zone=self._settings.zone)
        logger.info("node {} accepts requests from callers", self._settings.node_id)

    def _apply_settings(self, settings: FleetSettings) -> None:
        self._settings = settings
        bounds = settings.bounds
        self._dispatcher.tell(dispatcher_messages.SetBounds(bounds=bounds))
        self._driver.tell(
            RolloutDriver.SetHandoverTime(handover_s=bounds.lease_ms / 1000)
        )
        self._gossip.apply_settings(settings)
        self._quotas.set_bounds(_quota_bounds(settings))

    # Records from the store and from peers.

    def _on_record(
        self, topic: str, record: KeyedRecord, is_of_unknown_age: bool
    ) -> None:
        topics = self._platform.topics
        if topic == topics.operations:
            self._on_operation(record, is_of_unknown_age=is_of_unknown_age)
        elif topic == topics.replicas:
            self._on_replica(record)

    def _on_operation(self, record: KeyedRecord, *, is_of_unknown_age: bool) -> None:
        decoded = self._platform.decode_operation(record)
        if decoded.is_err():
            self._log.record_state(
                "record ignored", key=record.key, error=str(decoded.err_value)
            )
        elif isinstance(decoded.ok_value, ServingConfiguration):
            self._apply_configuration(decoded.ok_value)
        elif isinstance(decoded.ok_value, TargetWeights):
            unseen_s = self._pauses.unseen_s(boot_clock_s())
            age_s = None if is_of_unknown_age else unseen_s
            self._set_target_weights(decoded.ok_value, age_s)

    def _apply_configuration(self, configuration: ServingConfiguration) -> None:
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._dispatcher.ask(
            dispatcher_messages.SetConfiguration(configuration=configuration)
        )
        self._quotas.set_quotas(configuration.quotas_by_organisation)
        if configuration.quotas_without_keys:
            self._log.record_state(
                "quotas without keys",
                organisations=sorted(configuration.quotas_without_keys),
            )
        self._relay_server.set_limits(configuration.limits)
        self._configuration = configuration
        self._warm_up.configure(configuration)
        self._log.record_state("configuration in force", version=configuration.version)

    def _set_target_weights(self, target: TargetWeights, age_s: float | None) -> None:
        self._dispatcher.tell(
            dispatcher_messages.SetTargetVersion(
                model=target.model, version=target.version, age_s=age_s
            )
        )
        self._driver.tell(
            RolloutDriver.SetTargetVersion(model=target.model, version=target.version)
        )
        self._log.record_state(
            "weights named", model=target.model, version=target.version, age_s=age_s
        )

    def _on_replica(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._remove_replica(record.key)
            return
        decoded = self._platform.decode_replica(record)
        if decoded.is_err():
            self._log.record_state(
                "record ignored", key=record.key, error=str(decoded.err_value)
            )
            return
        self._replicas_known = True
        replica = decoded.ok_value
        self._dispatcher.tell(dispatcher_messages.ReplicaUpdated(replica=replica))
        if replica.weights_by_model:
            self._warm_up.add_engine(replica)

    def _remove_replica(self, replica_id: str) -> None:
        now_s = time.monotonic()
        ended_s = self._gossip.outage_ended_s(self._platform.topics.replicas)
        takes_effect_s = max(now_s, ended_s + RETURN_S)
        self._dispatcher.tell(
            dispatcher_messages.ReplicaRemoved(
                replica_id=replica_id, takes_effect_s=takes_effect_s
            )
        )
        self._log.record_state(
            "replica removed",
            replica=replica_id,
            after_outage=takes_effect_s > now_s,
            effective_in_ms=round((takes_effect_s - now_s) * 1000),
        )

    # Shutdown.

    def _drain(self) -> None:
        """Stop accepting callers and finish the requests in flight."""
        self._is_draining = True
        progress = DrainProgress(
            started_s=time.monotonic(),
            grace_s=self._settings.bounds.grace_ms / 1000,
        )
        self._answer_deadline.set(
            progress.answers_end_s, unannounced_until_s=progress.unannounced_until_s
        )
        self._relay_server.is_draining = True
        self._log.record_state("draining", in_flight=self._relay_server.in_flight)
        self._finish_requests(progress)
        self._log.record_state("drained", in_flight=self._relay_server.in_flight)
        self._log.stop()
        # Stopping the components one by one would leave connections open that are no
        # longer served.
        os._exit(0)

    def _finish_requests(self, progress: DrainProgress) -> None:
        while True:
            step = progress.step(
                time.monotonic(), in_flight=self._relay_server.unfinished
            )
            if step is DrainStep.EXIT:
                return
            if step is DrainStep.STOP_ACCEPTING:
                self._relay_server.stop_accepting()
                # Peers are sent the age of the last order, so that the next holder can
                # start as early as possible.
                self._driver.tell(RolloutDriver.ReleaseLease())
            time.sleep(DRAIN_POLL_S)


def _quota_bounds(settings: FleetSettings) -> QuotaBounds:
    bounds = settings.bounds
    return QuotaBounds(
        window_s=bounds.quota_window_s,
        over=bounds.quota_over,
        slack=bounds.quota_slack,
    )
