"""Loads under which each node of a fleet sends as many retries as it may.

The pattern: engines turn requests away or crash, every request wants several retries,
and the nodes count for themselves. What the engines see is the sum over all nodes.
"""

from __future__ import annotations

import bisect
import random
import unittest

import attrs

from crocuswick.relay.windowed_retry_budget import RetryBounds, WindowedRetryBudget

RATIO = 0.2
WINDOW_S = 10.0
SECONDS = 40.0
MAX_DELAY_S = 0.3
"""Longest time from the placement of a retry to its arrival: that of a handshake."""


@attrs.frozen(kw_only=True)
class Load:
    """Requests of a fleet's callers, each of which wants several retries."""

    nodes: int
    requests_per_s: float
    slack: float
    """Retries that the whole fleet may send beyond the ratio."""

    wanted_share: float = 0.4
    """Share of the requests that want retries."""

    wanted_retries: int = 5
    outages: tuple[tuple[float, float], ...] = ((0.0, SECONDS),)
    """Spans of time in which retries are wanted."""

    groups: int = 1
    """Groups of nodes. In each window the callers of one group move to the others."""

    restart_every_s: float = SECONDS
    """Interval at which each node starts again."""

    delay_s: float = 0.0
    """Longest delay of a retry on its way, in every other window."""


class _Node:
    def __init__(self, load: Load, started_s: float, *, is_first: bool):
        bounds = RetryBounds(
            ratio=RATIO, allowance=load.slack / load.nodes, window_s=WINDOW_S
        )
        self.budget = WindowedRetryBudget(
            bounds=bounds, started_s=started_s, is_full=is_first
        )


def highest_use(load: Load, seed: int) -> float:
    """Return the most retries that arrive in a window, as a share of the allowed ones."""
    chance = random.Random(seed)
    nodes = [_Node(load, 0.0, is_first=True) for _ in range(load.nodes)]
    requests, retries = [], []
    now_s, restarted_s = 0.0, 0.0
    while now_s < SECONDS:
        now_s += chance.expovariate(load.requests_per_s)
        if now_s - restarted_s >= load.restart_every_s:
            nodes = [_Node(load, now_s, is_first=False) for _ in nodes]
            restarted_s = now_s
        window = int(now_s / WINDOW_S)
        number = chance.randrange(load.nodes)
        while load.groups > 1 and number % load.groups == window % load.groups:
            number = chance.randrange(load.nodes)
        requests.append(now_s)
        budget = nodes[number].budget
        budget.record_request(now_s)
        is_outage = any(start <= now_s < end for start, end in load.outages)
        if not is_outage or chance.random() > load.wanted_share:
            continue
        for _ in range(load.wanted_retries):
            if not budget.take(now_s):
                break
            delay_s = chance.uniform(0, load.delay_s) if window % 2 == 0 else 0.0
            retries.append(now_s + delay_s)
    return _highest_use(load, requests, sorted(retries))


def _highest_use(load: Load, requests: list[float], retries: list[float]) -> float:
    def count(times: list[float], start_s: float) -> int:
        end = bisect.bisect_right(times, start_s + WINDOW_S)
        return end - bisect.bisect_left(times, start_s)

    used = 0.0
    for start_s in retries:
        if start_s + WINDOW_S > SECONDS:
            break
        # Retries follow requests, so the requests of the window before count as well.
        recent = max(
            count(requests, start_s - early_s)
            for early_s in (0, WINDOW_S / 2, WINDOW_S)
        )
        allowed = RATIO * recent + load.slack
        used = max(used, count(retries, start_s) / allowed)
    return used


class FleetRetriesTests(unittest.TestCase):
    """No window has more retries than the fleet may send, however they are spread."""

    def assert_within_bounds(self, load: Load):
        for seed in range(3):
            with self.subTest(seed=seed):
                self.assertLessEqual(highest_use(load, seed), 1.0)

    def test_a_small_fleet_whose_engines_turn_requests_away(self):
        """Guards against a fleet that sends more retries than each of its nodes counts:
        their counts are highest at different times."""
        self.assert_within_bounds(Load(nodes=7, requests_per_s=70, slack=54))

    def test_callers_that_move_to_other_nodes(self):
        """Guards against retries for the same requests at the nodes that their callers
        left and at those that they moved to."""
        outages = ((9.0, 10.0), (18.0, 19.0))
        for nodes, groups in ((6, 2), (60, 2), (60, 3)):
            with self.subTest(nodes=nodes, groups=groups):
                load = Load(
                    nodes=nodes,
                    requests_per_s=450,
                    slack=158,
                    groups=groups,
                    outages=outages,
                )
                self.assert_within_bounds(load)

    def test_nodes_that_start_again(self):
        """Guards against a full allowance at each start of a node."""
        load = Load(nodes=59, requests_per_s=450, slack=158, restart_every_s=4.0)
        self.assert_within_bounds(load)

    def test_retries_that_arrive_late(self):
        """Guards against retries that were placed before a window and arrive in it."""
        load = Load(nodes=7, requests_per_s=70, slack=54, delay_s=MAX_DELAY_S)
        self.assert_within_bounds(load)
