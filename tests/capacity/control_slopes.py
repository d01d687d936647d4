"""Unit costs of configuration, membership, load reports and an idle daemon."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from crocuswick.configuration import check_objects
from crocuswick.configuration.apply_records import apply_record
from crocuswick.configuration.state import EMPTY_STATE, encode_state
from crocuswick.configuration.submission import Submission, submission_to_record
from crocuswick.endpoints import EngineClient
from crocuswick.platform_log.records import LogRecord
from tests import capacity_heartbeats
from tests.capacity.placement_slopes import Figure
from tests.capacity.timing import allocated_bytes, best_us, child_rss_bytes
from tests.fakes.launcher import Launcher

if TYPE_CHECKING:
    from crocuswick.configuration.state import ConfigurationState

__all__ = ["control_figures"]

ORGANISATIONS = 900
MODELS = 23
ENDPOINTS = 2_900
ZONES = 14
POLLS = 100


def control_figures() -> list[Figure]:
    """Measure all figures of this module."""
    return [
        *_configuration_figures(),
        *_heartbeat_figures(),
        *_engine_figures(),
        *_memory_figures(),
    ]


def _configuration_figures() -> list[Figure]:
    state = _full_state()
    record = _record(1, "change-1", [_organisation(7, "changed")], base_revision=1)

    def apply() -> int:
        apply_record(state, record)
        return 1

    return [
        Figure(
            name="configuration at full size, encoded",
            value=len(encode_state(state)),
            unit="bytes",
        ),
        Figure(
            name="configuration at full size, in memory",
            value=allocated_bytes(_full_state),
            unit="bytes",
        ),
        Figure(
            name="configuration, record of a change of one object",
            value=len(json.dumps(record.value)),
            unit="bytes",
        ),
        Figure(name="configuration, judging a change", value=best_us(apply), unit="µs"),
    ]


def _full_state() -> ConfigurationState:
    objects = _full_objects()
    check_objects(objects).unwrap()
    return apply_record(EMPTY_STATE, _record(0, "first", objects, base_revision=0))


def _record(
    offset: int, submission_id: str, put: list[dict[str, Any]], *, base_revision: int
) -> LogRecord:
    submission = Submission(
        submission_id=submission_id, base_revision=base_revision, put=tuple(put)
    )
    return LogRecord(offset=offset, time_ms=0, value=submission_to_record(submission))


def _organisation(number: int, title: str) -> dict[str, Any]:
    return {
        "kind": "organisation",
        "id": f"organisation-{number:03d}",
        "title": title,
    }


def _full_objects() -> list[dict[str, Any]]:
    objects = [_organisation(number, "name") for number in range(ORGANISATIONS)]
    for number in range(ORGANISATIONS):
        owner = f"organisation-{number:03d}"
        key = {"kind": "key", "id": f"key-{number}", "organisation": owner}
        objects.append({**key, "sha256": f"{number:064x}"})
    for number in range(MODELS):
        objects.extend(_model_objects(number))
    return objects


def _model_objects(number: int) -> list[dict[str, Any]]:
    endpoints = [
        {
            "id": f"engine-{endpoint:04d}",
            "address": f"10.0.{endpoint // 250}.{endpoint % 250}:9000",
            "zone": f"zone-{endpoint % ZONES:02d}",
        }
        for endpoint in range(number, ENDPOINTS, MODELS)
    ]
    return [
        {
            "kind": "model_version",
            "id": f"model-{number}-v1",
            "model": f"model-{number}",
            "weights_version": "v1",
        },
        {
            "kind": "endpoint_pool",
            "id": f"pool-{number}",
            "pool_kind": "engine",
            "endpoints": endpoints,
        },
        {
            "kind": "routing_policy",
            "id": f"route-{number}",
            "model": f"model-{number}",
            "model_version": f"model-{number}-v1",
            "pool": f"pool-{number}",
        },
    ]


def _heartbeat_figures() -> list[Figure]:
    cost = capacity_heartbeats.measure_full_size()
    return [
        Figure(
            name="membership, datagrams sent a second",
            value=cost.datagrams_per_s,
            unit="1/s",
        ),
        Figure(
            name="membership, mean datagram",
            value=cost.bytes_per_datagram,
            unit="bytes",
        ),
        Figure(name="membership, sent", value=cost.sent_bytes_per_s, unit="bytes/s"),
        Figure(
            name="membership, received", value=cost.received_bytes_per_s, unit="bytes/s"
        ),
        Figure(name="membership, CPU", value=cost.core_percent, unit="% of a core"),
    ]


def _engine_figures() -> list[Figure]:
    with Launcher() as launcher:
        engine = launcher.fake("engine")
        client = EngineClient(
            endpoint_id="engine", address=f"{engine.host}:{engine.port}"
        )

        def read_load() -> int:
            for _ in range(POLLS):
                client.load().unwrap()
            return POLLS

        value = best_us(read_load)
        client.close()
    return [Figure(name="load report, reading it by HTTP", value=value, unit="µs")]


def _memory_figures() -> list[Figure]:
    bare = child_rss_bytes("")
    daemon = child_rss_bytes("import crocuswick.daemon")
    return [
        Figure(name="bare interpreter", value=bare, unit="bytes"),
        Figure(name="daemon's modules loaded", value=daemon, unit="bytes"),
    ]
