"""Different requests that crash replicas because of one prompt segment.

The pattern: requests that share a harmful segment reach any node of a fleet, no two of
them alike. Their other segments, hot and rare ones, are shared by sound requests, some of
which run at the same replicas when these crash.
"""

from __future__ import annotations

import random
import unittest

import attrs

from crocuswick.gossip.messages import ReplicaCrashed, RequestLost, RequestsAnswered
from crocuswick.relay.poison_guard import PoisonGuard
from crocuswick.relay.relay_request import Prompt, PromptSegment
from crocuswick.relay.replica_health import AttemptResult
from tests.relay.samples import MODEL, caller, routed
from tests.relay.simulated_time import SimulatedTime

NODES, REPLICAS = 7, 5
SECONDS = 40.0
HARMFUL_PER_S, SOUND_PER_S = 1.4, 24.0
HOT_SEGMENTS, RARE_SEGMENTS = 20, 1_186
RUN_S, CRASH_AFTER_S, DOWN_S = 0.4, 0.1, 3.5
BROADCAST_S = 0.03
RESTART_EVERY_S = 5.0
SEEDS = 20
MAX_CRASHES = 5
MAX_LATE = 3
"""Harmful requests that replicas may receive later than `LATE_S` after the fifth crash."""

LATE_S = 3.0
SETTLED_S = 6.0
"""Time after the last crash from which sound requests must begin as usual."""

MAX_REFUSED_SHARE = 0.02


@attrs.define(kw_only=True)
class Attempt:
    """A request at a replica."""

    request: object
    node: int
    sent_s: float
    is_harmful: bool


class Fleet:
    """Nodes, replicas and traffic, in simulated time.

    Args:
        seed: Seed of the traffic.
        restarts: Whether some node restarts every few seconds.
        has_begun: Whether requests are lost after the first event of their answers.
        harmful_per_s: Rate of the harmful requests.
        hot_segments: Number of first segments.
        rare_segments: Number of last shared segments.
    """

    def __init__(
        self,
        seed: int,
        *,
        restarts: bool = False,
        has_begun: bool = False,
        harmful_per_s: float = HARMFUL_PER_S,
        hot_segments: int = HOT_SEGMENTS,
        rare_segments: int = RARE_SEGMENTS,
    ):
        self.random = random.Random(seed)
        self.has_begun = has_begun
        self.hot_segments, self.rare_segments = hot_segments, rare_segments
        self.guards = [PoisonGuard() for _ in range(NODES)]
        self.attempts_by_replica = {f"r{n}@0": [] for n in range(REPLICAS)}
        self.time = SimulatedTime()
        self.number = 0
        self.crash_times_s = []
        self.late = 0
        self.sound_sent = self.sound_refused = 0
        for rate_per_s, is_harmful in ((harmful_per_s, True), (SOUND_PER_S, False)):
            time_s = 0.0
            while time_s < SECONDS:
                time_s += self.random.expovariate(rate_per_s)
                self.time.at(time_s, self.sending(is_harmful))
        if restarts:
            for count in range(1, int(SECONDS / RESTART_EVERY_S)):
                self.time.at(count * RESTART_EVERY_S, self.restart_node)

    def sending(self, is_harmful):
        return lambda now_s: self.send(is_harmful, now_s)

    def send(self, is_harmful, now_s) -> None:
        self.number += 1
        segments = [f"hot{self.random.randrange(self.hot_segments)}"]
        if is_harmful:
            segments.append("harmful")
        segments.append(f"rare{self.random.randrange(self.rare_segments)}")
        request = request_with(self.number, *segments)
        node = self.random.randrange(NODES)
        is_settled = self.crash_times_s and now_s > self.crash_times_s[-1] + SETTLED_S
        self.sound_sent += bool(is_settled and not is_harmful)
        if self.guards[node].check(request, now_s) is not None:
            self.sound_refused += bool(is_settled and not is_harmful)
            return
        if not self.attempts_by_replica:
            return
        if is_harmful and self.is_late(now_s):
            self.late += 1
        replica = self.random.choice(list(self.attempts_by_replica))
        attempt = Attempt(
            request=request, node=node, sent_s=now_s, is_harmful=is_harmful
        )
        self.attempts_by_replica[replica].append(attempt)
        end = self.crash if is_harmful else self.answer
        after_s = CRASH_AFTER_S if is_harmful else self.random.uniform(0.1, RUN_S)
        self.time.at(now_s + after_s, lambda then_s: end(replica, attempt, then_s))

    def is_late(self, now_s) -> bool:
        return len(self.crash_times_s) >= 5 and now_s > self.crash_times_s[4] + LATE_S

    def answer(self, replica, attempt, now_s) -> None:
        attempts = self.attempts_by_replica.get(replica, [])
        if attempt in attempts:
            attempts.remove(attempt)
            self.end(attempt, replica, AttemptResult.ANSWERED, now_s)

    def crash(self, replica, _attempt, now_s) -> None:
        attempts = self.attempts_by_replica.pop(replica, None)
        if attempts is None:
            return
        self.crash_times_s.append(now_s)
        name, _, boot = replica.partition("@")
        self.time.at(
            now_s + DOWN_S,
            lambda _then_s: self.attempts_by_replica.__setitem__(
                f"{name}@{int(boot) + 1}", []
            ),
        )
        for attempt in attempts:
            self.end(attempt, replica, AttemptResult.FAILED, now_s)
        for node in {attempt.node for attempt in attempts}:
            self.tell(self.guards[node].replica_ended(replica, now_s), now_s)

    def end(self, attempt, replica, result, now_s) -> None:
        is_lost = result is AttemptResult.FAILED
        messages = self.guards[attempt.node].attempt_ended(
            attempt.request,
            replica,
            result,
            is_lost_before_answer=is_lost and not self.has_begun,
            has_begun=is_lost and self.has_begun,
            sent_s=attempt.sent_s,
            now_s=now_s,
        )
        self.tell(messages, now_s)

    def tell(self, messages, now_s) -> None:
        for guard in self.guards:
            for message in messages:
                self.time.at(
                    now_s + BROADCAST_S,
                    lambda then_s, guard=guard, message=message: receive(
                        guard, message, then_s
                    ),
                )

    def restart_node(self, now_s) -> None:
        number = self.random.randrange(NODES)
        told_by = self.guards[(number + 1) % NODES]
        self.guards[number] = PoisonGuard()
        for message in [
            *told_by.answers(now_s),
            *told_by.crashes(now_s),
            *told_by.losses(now_s),
        ]:
            receive(self.guards[number], message, now_s)


def request_with(number, *segments):
    """Return a request with shared segments and one of its own."""
    parts = [PromptSegment(id=segment, tokens=100) for segment in (*segments, "own")]
    prompt = Prompt(
        model=MODEL, prompt_tokens=1_000, max_output_tokens=10, segments=tuple(parts)
    )
    return routed(caller=caller(body=b"%d" % number, prompt=prompt))


def receive(guard, message, now_s) -> None:
    """Let a node handle a peer's message."""
    if isinstance(message, ReplicaCrashed):
        guard.record_peer_crash(message, now_s)
    elif isinstance(message, RequestLost):
        guard.record_peer_loss(message, now_s)
    elif isinstance(message, RequestsAnswered):
        guard.record_peer_answers(message, now_s)


class FleetSegmentTests(unittest.TestCase):
    def assert_stopped(self, **options):
        for fleet in self.assert_bounds(**options):
            self.assertLessEqual(len(fleet.crash_times_s), MAX_CRASHES)

    def assert_bounds(self, **options):
        fleets = []
        for seed in range(SEEDS):
            with self.subTest(seed=seed, **options):
                fleet = Fleet(seed, **options)
                fleet.time.run()
                self.assertLessEqual(fleet.late, MAX_LATE)
                self.assertLessEqual(
                    fleet.sound_refused, MAX_REFUSED_SHARE * fleet.sound_sent
                )
                fleets.append(fleet)
        return fleets

    def test_crashes_stop_and_sound_requests_are_served(self):
        """Guards against requests with one segment in common that crash replica after
        replica, and against the refusal of sound ones with their other segments."""
        self.assert_stopped()

    def test_bursts_of_harmful_requests_with_few_segments_stop(self):
        """Guards against a verdict that passes to another segment when most replicas crash
        at once, under requests that share the few other segments as well."""
        self.assert_bounds(harmful_per_s=3.0, hot_segments=3, rare_segments=10)
        self.assert_bounds(harmful_per_s=10.0, hot_segments=1, rare_segments=10)

    def test_sound_requests_are_served_where_all_share_the_first_segment(self):
        """Guards against nodes that start while replicas crash, have seen no answer yet, and
        refuse what all requests share."""
        self.assert_bounds(restarts=True, hot_segments=1)
        self.assert_bounds(restarts=True, hot_segments=1, rare_segments=1)

    def test_crashes_stop_though_nodes_restart(self):
        """Guards against evidence that is lost with the nodes that hold it."""
        self.assert_stopped(restarts=True)

    def test_crashes_after_the_first_event_stop(self):
        """Guards against evidence that counts only before the first event."""
        self.assert_stopped(has_begun=True)
