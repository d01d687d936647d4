"""Measures a node's CPU time per request and per relayed token event.

Run with ``python -m tests.node_cost``, which prints one JSON line. Callers run in
this process, so that only the node's own CPU time is counted. The CPU time that
the node uses without any request is subtracted.
"""

from __future__ import annotations

import json
import threading
import time

import attrs
import psutil
import urllib3

from tests.fleet import MODEL, Fleet, FleetPlan, caller_key

__all__ = ["NodeCost", "measure"]

STREAMS = 66
LONG_TOKENS = 200
SHORT_TOKENS = 1
ROUNDS = 4
SETTLE_TIME_S = 1.0
"""Pause after start-up, before idle CPU time is measured."""


@attrs.frozen(kw_only=True)
class NodeCost:
    """CPU cost of a node under concurrent streams."""

    streams: int
    """Number of concurrent streams."""

    us_per_token: float
    """CPU microseconds per relayed token event, without the idle load."""

    us_per_request: float
    """CPU microseconds per request, without its token events and the idle load."""

    idle_percent: float
    """Share of a core used without any request, in percent."""

    rss_mb: float
    """Resident memory after the run, in MB."""


def measure(*, streams: int = STREAMS) -> NodeCost:
    """Measure one node of a small deployment.

    Args:
        streams: Number of concurrent streams.
    """
    plan = FleetPlan(
        nodes=1,
        engines=4,
        engine_flags={"decode_ms": 32, "max_running": 32, "prefill_us_per_token": 1},
    )
    with Fleet(plan=plan) as fleet:
        applied = fleet.apply()
        assert applied.returncode == 0, applied.stderr
        fleet.wait_ready()
        node = fleet.nodes[0]
        process = psutil.Process(node.pid)
        time.sleep(SETTLE_TIME_S)
        idle_share = _core_share(process, 3.0)
        _run(node.url, streams, SHORT_TOKENS)
        load = _Load(
            process=process, url=node.url, streams=streams, idle_share=idle_share
        )
        short_request_us = load.us_per_request(tokens=SHORT_TOKENS, rounds=ROUNDS)
        long_request_us = load.us_per_request(tokens=LONG_TOKENS, rounds=1)
        per_token_us = (long_request_us - short_request_us) / (
            LONG_TOKENS - SHORT_TOKENS
        )
        return NodeCost(
            streams=streams,
            us_per_token=round(per_token_us, 1),
            us_per_request=round(short_request_us - SHORT_TOKENS * per_token_us, 1),
            idle_percent=round(idle_share * 100, 2),
            rss_mb=round(process.memory_info().rss / 1e6, 1),
        )


@attrs.frozen(kw_only=True)
class _Load:
    """Requests to one node, and their cost without its idle load."""

    process: psutil.Process
    url: str
    streams: int
    idle_share: float
    """Share of a core that the node uses without any request."""

    def us_per_request(self, *, tokens: int, rounds: int) -> float:
        """Return the CPU microseconds per request without the idle load.

        Args:
            tokens: Tokens of each answer.
            rounds: Number of times that all streams are run.
        """
        start_s, cpu_before_s = time.monotonic(), _cpu_s(self.process)
        for _ in range(rounds):
            _run(self.url, self.streams, tokens)
        spent_s = _cpu_s(self.process) - cpu_before_s
        idle_s = self.idle_share * (time.monotonic() - start_s)
        return (spent_s - idle_s) / (self.streams * rounds) * 1e6


def _run(url: str, streams: int, tokens: int) -> None:
    threads = [
        threading.Thread(target=_stream, args=(url, tokens, number))
        for number in range(streams)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _stream(url: str, tokens: int, number: int) -> None:
    body = {
        "model": MODEL,
        "prompt": f"Short question {number} {time.monotonic_ns()}",
        "max_tokens": tokens,
        "stream": True,
    }
    pool = urllib3.PoolManager(retries=False)
    response = pool.request(
        "POST",
        f"{url}/v1/completions",
        json=body,
        headers={"Authorization": f"Bearer {caller_key('swanfold')}"},
        timeout=60,
    )
    assert response.data.endswith(b"[DONE]\n\n"), response.data[-300:]


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _core_share(process: psutil.Process, seconds: float) -> float:
    before_s = _cpu_s(process)
    time.sleep(seconds)
    return (_cpu_s(process) - before_s) / seconds


def main() -> None:
    """Print the measurement as one JSON line."""
    print(json.dumps(attrs.asdict(measure())))


if __name__ == "__main__":
    main()
