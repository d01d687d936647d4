"""Table of the known nodes, merged from heartbeats, digests and the VM list.

The table has no sockets and no clock. Merging is commutative and idempotent for
what nodes say of themselves: the highest incarnation wins, then the highest
sequence number, and leaving once said stays said for that incarnation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.nodes.flap_damper import FlapDamper
from crocuswick.nodes.node_state import (
    NodeAddress,
    NodeLiveness,
    NodePhase,
    NodeStatus,
)
from crocuswick.nodes.platform_node import PlatformNode, PlatformState
from crocuswick.nodes.zone_table import ZoneTable

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from crocuswick.fleet_share import FleetShare
    from crocuswick.nodes.datagrams import Heartbeat, ZoneDigest

__all__ = ["LivenessLimits", "MembershipTable"]

NEAR_SUSPECT_S = 3.0
"""Silence after which a node of the own zone is suspect."""

NEAR_GONE_S = 10.0
"""Silence after which a node of the own zone is gone."""

FAR_SUSPECT_S = 12.0
"""Silence after which a node of another zone is suspect."""

FAR_GONE_S = 30.0
"""Silence after which a node of another zone is gone."""

FORGET_S = 300.0
"""Silence after which a node that the platform does not list is forgotten."""

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class LivenessLimits:
    """Silences after which a node is no longer believed to be live."""

    suspect_s: float
    """Silence after which it is suspect."""

    gone_s: float
    """Silence after which it is gone."""


@attrs.frozen(kw_only=True)
class _Sign:
    """A sign of life of a node, heard directly or from another."""

    node_id: str
    zone: str
    region: str
    address: NodeAddress
    incarnation: int
    sequence: int
    phase: NodePhase
    configuration_revision: int
    heard_s: float


@attrs.define(kw_only=True)
class _Entry:
    node_id: str
    zone: str
    region: str
    address: NodeAddress
    limits: LivenessLimits
    heard_s: float
    incarnation: int
    sequence: int = -1
    phase: NodePhase = NodePhase.STARTING
    configuration_revision: int = 0
    damper: FlapDamper = attrs.Factory(FlapDamper)


class MembershipTable:
    """Believes of each node what its latest signs of life say."""

    def __init__(
        self,
        *,
        node_id: str,
        zone: str,
        near: LivenessLimits | None = None,
        far: LivenessLimits | None = None,
    ):
        """Create a table that knows only the own node's id.

        Args:
            node_id: Own node, whose signs of life are not tracked.
            zone: Own zone.
            near: Limits for nodes of the own zone.
            far: Limits for nodes of other zones.
        """
        self._node_id = node_id
        self._zone = zone
        self._near = near or LivenessLimits(
            suspect_s=NEAR_SUSPECT_S, gone_s=NEAR_GONE_S
        )
        self._far = far or LivenessLimits(suspect_s=FAR_SUSPECT_S, gone_s=FAR_GONE_S)
        self._entries_by_id: dict[str, _Entry] = {}
        self._platform_states_by_id: dict[str, PlatformState] = {}
        self._is_told_leaving = False
        self.version = 0
        self.zones = ZoneTable(zone=zone)

    def hear_heartbeat(self, heartbeat: Heartbeat, *, now_s: float) -> bool:
        """Take in a heartbeat.

        Args:
            heartbeat: Authenticated heartbeat.
            now_s: Monotonic time.

        Returns:
            Whether it is news; False for a repeat, an old one or an own one.
        """
        sign = _Sign(
            node_id=heartbeat.node_id,
            zone=heartbeat.zone,
            region=heartbeat.region,
            address=heartbeat.address,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            phase=heartbeat.phase,
            configuration_revision=heartbeat.configuration_revision,
            heard_s=now_s,
        )
        is_news = self._observe(sign)
        if is_news and heartbeat.zone == self._zone:
            self.zones.hear_node(heartbeat.node_id, heartbeat.demand, now_s=now_s)
        return is_news

    def hear_digest(self, digest: ZoneDigest, *, now_s: float) -> None:
        """Take in a digest.

        Args:
            digest: Authenticated digest, which was not seen before.
            now_s: Monotonic time.
        """
        told_s = now_s - digest.age_ms / _MS_PER_S
        for summary in digest.nodes:
            self._observe(
                _Sign(
                    node_id=summary.node_id,
                    zone=digest.zone,
                    region=digest.region,
                    address=summary.address,
                    incarnation=summary.incarnation,
                    sequence=summary.sequence,
                    phase=summary.phase,
                    configuration_revision=summary.configuration_revision,
                    heard_s=told_s - summary.age_ms / _MS_PER_S,
                )
            )
        if digest.zone != self._zone:
            self.zones.hear_zone(digest, told_s=told_s)

    def hear_platform(self, nodes: Iterable[PlatformNode]) -> None:
        """Take in the platform's list of entry VMs.

        Args:
            nodes: The whole list; nodes that it lacks are unknown to it.
        """
        listed = tuple(nodes)
        self._platform_states_by_id = {node.node_id: node.state for node in listed}
        self.version += 1
        self.zones.hear_platform(listed)

    def hear_leaving(self, node_id: str) -> None:
        """Take in that some node has learned that a node is leaving.

        Args:
            node_id: The leaving node, possibly the own one; unknown ids are
                ignored.
        """
        entry = self._entries_by_id.get(node_id)
        if entry is not None:
            self._set_phase(entry, NodePhase.DRAINING)
        if node_id == self._node_id:
            self._is_told_leaving = True

    def is_leaving(self) -> bool:
        """Return whether the platform takes the own node away."""
        is_listed = self._platform_state(self._node_id) == PlatformState.LEAVING
        return is_listed or self._is_told_leaving

    def fleet_share(self, *, now_s: float) -> FleetShare:
        """Return the size of the fleet and the other nodes' demand.

        Args:
            now_s: Monotonic time.
        """
        near = [entry for entry in self._entries() if entry.zone == self._zone]
        serving = [entry for entry in near if self._may_serve(entry)]
        reachable = [
            entry for entry in near if now_s - entry.heard_s < entry.limits.suspect_s
        ]
        return self.zones.fleet_share(
            near_reachable=1 + len(reachable),
            near_known=1 + len(serving),
            now_s=now_s,
        )

    def incarnation(self, node_id: str) -> int | None:
        """Return the known incarnation of a node, or None if it was never heard."""
        entry = self._entries_by_id.get(node_id)
        return entry.incarnation if entry else None

    def sequence(self, node_id: str) -> int:
        """Return the highest sequence number heard from a node, -1 if none."""
        entry = self._entries_by_id.get(node_id)
        return entry.sequence if entry else -1

    def statuses(self, *, now_s: float) -> tuple[NodeStatus, ...]:
        """Return what is believed of each other node, in order of their ids.

        Args:
            now_s: Monotonic time.
        """
        return tuple(self._statuses(now_s))

    def forget_silent(self, *, now_s: float) -> None:
        """Drop nodes that have been silent for long and are not listed.

        Args:
            now_s: Monotonic time.
        """
        forgotten = [
            entry.node_id
            for entry in self._entries_by_id.values()
            if now_s - entry.heard_s > FORGET_S
            and self._platform_state(entry.node_id) != PlatformState.LIVE
        ]
        self.version += len(forgotten)
        for node_id in forgotten:
            del self._entries_by_id[node_id]
            self.zones.forget_node(node_id)

    def _entries(self) -> Iterable[_Entry]:
        return self._entries_by_id.values()

    def _platform_state(self, node_id: str) -> PlatformState | None:
        return self._platform_states_by_id.get(node_id)

    def _may_serve(self, entry: _Entry) -> bool:
        return self._platform_state(entry.node_id) != PlatformState.GONE

    def _statuses(self, now_s: float) -> Iterator[NodeStatus]:
        for node_id in sorted(self._entries_by_id):
            entry = self._entries_by_id[node_id]
            damped = entry.damper.is_suppressed(now_s=now_s)
            liveness = self._liveness(entry, now_s=now_s)
            is_damped = damped and liveness is NodeLiveness.LIVE
            yield NodeStatus(
                node_id=node_id,
                zone=entry.zone,
                region=entry.region,
                address=entry.address,
                incarnation=entry.incarnation,
                phase=entry.phase,
                liveness=NodeLiveness.SUSPECT if is_damped else liveness,
                configuration_revision=entry.configuration_revision,
                age_ms=round((now_s - entry.heard_s) * _MS_PER_S),
                damped=is_damped,
            )

    def _observe(self, sign: _Sign) -> bool:
        if sign.node_id == self._node_id:
            return False
        entry = self._entries_by_id.get(sign.node_id)
        if entry is None:
            entry = self._add(sign)
        elif sign.incarnation > entry.incarnation:
            self._start_incarnation(entry, sign)
        if sign.incarnation < entry.incarnation:
            return False
        if sign.phase is NodePhase.DRAINING:
            self._set_phase(entry, NodePhase.DRAINING)
        if sign.sequence <= entry.sequence:
            return False
        self._update(entry, sign)
        return True

    def _add(self, sign: _Sign) -> _Entry:
        entry = _Entry(
            node_id=sign.node_id,
            zone=sign.zone,
            region=sign.region,
            address=sign.address,
            limits=self._near if sign.zone == self._zone else self._far,
            incarnation=sign.incarnation,
            heard_s=sign.heard_s,
        )
        self._entries_by_id[sign.node_id] = entry
        self.version += 1
        return entry

    def _set_phase(self, entry: _Entry, phase: NodePhase) -> None:
        if entry.phase is not phase:
            entry.phase = phase
            self.version += 1

    def _start_incarnation(self, entry: _Entry, sign: _Sign) -> None:
        entry.damper.note_flap(now_s=sign.heard_s)
        entry.incarnation = sign.incarnation
        entry.sequence = -1
        self._set_phase(entry, sign.phase)
        entry.heard_s = max(entry.heard_s, sign.heard_s)

    def _update(self, entry: _Entry, sign: _Sign) -> None:
        if sign.heard_s - entry.heard_s >= entry.limits.suspect_s:
            self.version += 1
            entry.damper.note_flap(now_s=sign.heard_s)
        entry.sequence = sign.sequence
        entry.heard_s = max(entry.heard_s, sign.heard_s)
        entry.address = sign.address
        if entry.configuration_revision != sign.configuration_revision:
            entry.configuration_revision = sign.configuration_revision
            self.version += 1
        if entry.phase is not NodePhase.DRAINING:
            self._set_phase(entry, sign.phase)

    def _liveness(self, entry: _Entry, *, now_s: float) -> NodeLiveness:
        silence_s = now_s - entry.heard_s
        is_silent = silence_s >= entry.limits.suspect_s
        platform_state = self._platform_state(entry.node_id)
        if silence_s >= entry.limits.gone_s:
            return NodeLiveness.GONE
        # The platform's list lags: it may call a node gone that has just started.
        if is_silent and platform_state == PlatformState.GONE:
            return NodeLiveness.GONE
        if entry.phase is NodePhase.DRAINING:
            return NodeLiveness.LEAVING
        if platform_state == PlatformState.LEAVING:
            return NodeLiveness.LEAVING
        return NodeLiveness.SUSPECT if is_silent else NodeLiveness.LIVE
