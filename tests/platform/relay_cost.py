"""Benchmark of a fleet node's CPU time per relayed request and per relayed event.

Run as ``python -m tests.platform.relay_cost``; it prints one JSON line. Callers and
replicas run in this process, so only the CPU time of the node is measured. The CPU
time of an idle node is subtracted.
"""

from __future__ import annotations

import json
import threading
import time

import attrs
import psutil

from tests.platform.deployment import Deployment, request
from tests.platform.node_process import RawCaller
from tests.platform.scripted_replica import ReceivedRequest, stream_head

__all__ = ["RelayCost", "measure"]

CALLERS = 8
REQUESTS_PER_CALLER = 60
LONG_EVENTS = 400
SHORT_EVENTS = 1
EVENT_INTERVAL_S = 0.002
IDLE_S = 4.0
"""Duration of the measurement of an idle node."""


@attrs.frozen(kw_only=True)
class RelayCost:
    """CPU and memory cost of one node."""

    us_per_event: float
    """CPU time of a relayed event in microseconds, less that of an idle node."""

    ms_per_request: float
    """CPU time of a plain request in milliseconds, less that of an idle node."""

    idle_percent: float
    """CPU time of an idle node, in percent of a core."""

    rss_mb: float
    """Resident memory after the run, in MB."""


def measure() -> RelayCost:
    """Measure a node in front of fakes."""
    deployment = Deployment()
    try:
        deployment.node.start()
        return _measure(deployment, psutil.Process(deployment.node.process.pid))
    finally:
        deployment.stop()


def _measure(deployment: Deployment, process: psutil.Process) -> RelayCost:
    time.sleep(1.0)
    idle_s = _cpu_s(process, lambda: time.sleep(IDLE_S))
    idle_share = idle_s / IDLE_S
    plain_s, count = _run(deployment, process, request("/lookup/1"), idle_share)
    deployment.script("engine", _stream(SHORT_EVENTS))
    ask = request("/ask/1", host="ai.example", budget_ms=5_000)
    short_s, streams = _run(deployment, process, ask, idle_share)
    deployment.script("engine", _stream(LONG_EVENTS))
    long_s, _ = _run(deployment, process, ask, idle_share)
    events = streams * (LONG_EVENTS - SHORT_EVENTS)
    return RelayCost(
        us_per_event=round((long_s - short_s) / events * 1e6, 1),
        ms_per_request=round(plain_s / count * 1e3, 2),
        idle_percent=round(100 * idle_share, 2),
        rss_mb=round(process.memory_info().rss / 1e6, 1),
    )


def _cpu_s(process: psutil.Process, call) -> float:
    before = process.cpu_times()
    call()
    after = process.cpu_times()
    return after.user + after.system - before.user - before.system


def _run(
    deployment: Deployment, process: psutil.Process, data: bytes, idle_share: float
) -> tuple[float, int]:
    """Return the CPU time of all requests in seconds, and their number."""

    def caller() -> None:
        for _ in range(REQUESTS_PER_CALLER):
            RawCaller(deployment.node.front, timeout_s=20.0).exchange(data)

    def run() -> None:
        threads = [threading.Thread(target=caller) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    started_s = time.monotonic()
    used_s = _cpu_s(process, run)
    passed_s = time.monotonic() - started_s
    return used_s - idle_share * passed_s, CALLERS * REQUESTS_PER_CALLER


def _stream(events: int):
    def script(received: ReceivedRequest) -> None:
        received.send(stream_head(received))
        for number in range(1, events + 1):
            data = b"id: %d\ndata: a piece of an answer\n\n" % number
            received.send(b"%x\r\n%b\r\n" % (len(data), data))
            time.sleep(EVENT_INTERVAL_S)
        received.send(b"0\r\n\r\n")

    return script


if __name__ == "__main__":
    print(json.dumps({"measure": "relay_cost", **attrs.asdict(measure())}))
