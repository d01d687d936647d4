"""Table of the known nodes, merged from heartbeats, digests and the VM list.

The table has no sockets and no clock. Merging is commutative and idempotent for
what nodes report about themselves: the highest incarnation wins, then the highest
sequence number, and a node that has reported leaving keeps that phase until its
next incarnation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.nodes.flap_damper import FlapDamper
from crocuswick.nodes.listed_node import ListedNode, PlatformState
from crocuswick.nodes.node_state import (
    NodeAddress,
    NodeLiveness,
    NodePhase,
    NodeStatus,
)
from crocuswick.nodes.zone_table import ZoneTable

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from crocuswick.fleet_share import FleetShare
    from crocuswick.nodes.datagrams import Heartbeat, ZoneDigest

__all__ = ["LivenessLimits", "MembershipTable"]

LOCAL_ZONE_SUSPECT_S = 3.0
"""Time since a node of the local zone was last seen after which it is suspect."""

LOCAL_ZONE_GONE_S = 10.0
"""Time since a node of the local zone was last seen after which it is gone."""

OTHER_ZONE_SUSPECT_S = 12.0
"""Time since a node of another zone was last seen after which it is suspect."""

OTHER_ZONE_GONE_S = 30.0
"""Time since a node of another zone was last seen after which it is gone."""

RETENTION_S = 300.0
"""Time since a node was last seen after which it is removed, unless listed as live."""

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class LivenessLimits:
    """Times since a node was last seen after which it no longer counts as live."""

    suspect_s: float
    """Time after which it is suspect."""

    gone_s: float
    """Time after which it is gone."""


@attrs.frozen(kw_only=True)
class _Observation:
    """State of a node as reported in its heartbeat or in a digest."""

    node_id: str
    zone: str
    region: str
    address: NodeAddress
    incarnation: int
    sequence: int
    phase: NodePhase
    configuration_revision: int
    last_seen_s: float


@attrs.define(kw_only=True)
class _Entry:
    node_id: str
    zone: str
    region: str
    address: NodeAddress
    limits: LivenessLimits
    last_seen_s: float
    incarnation: int
    sequence: int = -1
    phase: NodePhase = NodePhase.STARTING
    configuration_revision: int = 0
    damper: FlapDamper = attrs.Factory(FlapDamper)


class MembershipTable:
    """State of each other node as last reported in heartbeats and digests."""

    def __init__(
        self,
        *,
        node_id: str,
        zone: str,
        local_zone_limits: LivenessLimits | None = None,
        other_zones_limits: LivenessLimits | None = None,
    ):
        """Create a table without other nodes.

        Args:
            node_id: Local node, which has no entry in the table.
            zone: Local zone.
            local_zone_limits: Limits for nodes of the local zone.
            other_zones_limits: Limits for nodes of other zones.
        """
        self._node_id = node_id
        self._zone = zone
        self._local_zone_limits = local_zone_limits or LivenessLimits(
            suspect_s=LOCAL_ZONE_SUSPECT_S, gone_s=LOCAL_ZONE_GONE_S
        )
        self._other_zones_limits = other_zones_limits or LivenessLimits(
            suspect_s=OTHER_ZONE_SUSPECT_S, gone_s=OTHER_ZONE_GONE_S
        )
        self._entries_by_id: dict[str, _Entry] = {}
        self._platform_states_by_id: dict[str, PlatformState] = {}
        self._is_reported_leaving = False
        self.version = 0
        self.zones = ZoneTable(zone=zone)

    def merge_heartbeat(self, heartbeat: Heartbeat, *, now_s: float) -> bool:
        """Merge a heartbeat into the table.

        Args:
            heartbeat: Authenticated heartbeat.
            now_s: Monotonic time.

        Returns:
            Whether it is new; False if it is repeated, outdated or the local node's.
        """
        observation = _Observation(
            node_id=heartbeat.node_id,
            zone=heartbeat.zone,
            region=heartbeat.region,
            address=heartbeat.address,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            phase=heartbeat.phase,
            configuration_revision=heartbeat.configuration_revision,
            last_seen_s=now_s,
        )
        is_new = self._observe(observation)
        if is_new and heartbeat.zone == self._zone:
            self.zones.update_node_demand(
                heartbeat.node_id, heartbeat.demand, now_s=now_s
            )
        return is_new

    def merge_digest(self, digest: ZoneDigest, *, now_s: float) -> None:
        """Merge a zone digest into the table.

        Args:
            digest: Authenticated digest that was not received before.
            now_s: Monotonic time.
        """
        reported_s = now_s - digest.age_ms / _MS_PER_S
        for summary in digest.nodes:
            self._observe(
                _Observation(
                    node_id=summary.node_id,
                    zone=digest.zone,
                    region=digest.region,
                    address=summary.address,
                    incarnation=summary.incarnation,
                    sequence=summary.sequence,
                    phase=summary.phase,
                    configuration_revision=summary.configuration_revision,
                    last_seen_s=reported_s - summary.age_ms / _MS_PER_S,
                )
            )
        if digest.zone != self._zone:
            self.zones.update_zone(digest, reported_s=reported_s)

    def apply_vm_list(self, nodes: Iterable[ListedNode]) -> None:
        """Apply the platform's list of entry VMs.

        Args:
            nodes: The complete list; it replaces the previous one.
        """
        listed = tuple(nodes)
        self._platform_states_by_id = {node.node_id: node.state for node in listed}
        self.version += 1
        self.zones.apply_vm_list(listed)

    def mark_leaving(self, node_id: str) -> None:
        """Mark a node as leaving because another node has reported it.

        Args:
            node_id: The leaving node, possibly the local one; unknown ids are
                ignored.
        """
        entry = self._entries_by_id.get(node_id)
        if entry is not None:
            self._set_phase(entry, NodePhase.DRAINING)
        if node_id == self._node_id:
            self._is_reported_leaving = True

    def is_leaving(self) -> bool:
        """Return whether the platform is removing the local node."""
        is_listed_leaving = self._platform_state(self._node_id) == PlatformState.LEAVING
        return is_listed_leaving or self._is_reported_leaving

    def fleet_share(self, *, now_s: float) -> FleetShare:
        """Return the size of the fleet and the other nodes' demand.

        Args:
            now_s: Monotonic time.
        """
        local_zone = [entry for entry in self._entries() if entry.zone == self._zone]
        serving = [entry for entry in local_zone if self._may_serve(entry)]
        reachable = [
            entry
            for entry in local_zone
            if now_s - entry.last_seen_s < entry.limits.suspect_s
        ]
        return self.zones.fleet_share(
            local_zone_reachable=1 + len(reachable),
            local_zone_known=1 + len(serving),
            now_s=now_s,
        )

    def incarnation(self, node_id: str) -> int | None:
        """Return the known incarnation of a node, or None if the node is unknown."""
        entry = self._entries_by_id.get(node_id)
        return entry.incarnation if entry else None

    def sequence(self, node_id: str) -> int:
        """Return the highest sequence number received from a node, -1 if none."""
        entry = self._entries_by_id.get(node_id)
        return entry.sequence if entry else -1

    def statuses(self, *, now_s: float) -> tuple[NodeStatus, ...]:
        """Return the status of each other node, in order of their ids.

        Args:
            now_s: Monotonic time.
        """
        return tuple(self._statuses(now_s))

    def remove_silent(self, *, now_s: float) -> None:
        """Remove silent nodes that the VM list does not show as live.

        Args:
            now_s: Monotonic time.
        """
        expired = [
            entry.node_id
            for entry in self._entries_by_id.values()
            if now_s - entry.last_seen_s > RETENTION_S
            and self._platform_state(entry.node_id) != PlatformState.LIVE
        ]
        self.version += len(expired)
        for node_id in expired:
            del self._entries_by_id[node_id]
            self.zones.remove_node(node_id)

    def _entries(self) -> Iterable[_Entry]:
        return self._entries_by_id.values()

    def _platform_state(self, node_id: str) -> PlatformState | None:
        return self._platform_states_by_id.get(node_id)

    def _may_serve(self, entry: _Entry) -> bool:
        return self._platform_state(entry.node_id) != PlatformState.GONE

    def _statuses(self, now_s: float) -> Iterator[NodeStatus]:
        for node_id in sorted(self._entries_by_id):
            entry = self._entries_by_id[node_id]
            is_suppressed = entry.damper.is_suppressed(now_s=now_s)
            liveness = self._liveness(entry, now_s=now_s)
            is_damped = is_suppressed and liveness is NodeLiveness.LIVE
            yield NodeStatus(
                node_id=node_id,
                zone=entry.zone,
                region=entry.region,
                address=entry.address,
                incarnation=entry.incarnation,
                phase=entry.phase,
                liveness=NodeLiveness.SUSPECT if is_damped else liveness,
                configuration_revision=entry.configuration_revision,
                age_ms=round((now_s - entry.last_seen_s) * _MS_PER_S),
                damped=is_damped,
            )

    def _observe(self, observation: _Observation) -> bool:
        if observation.node_id == self._node_id:
            return False
        entry = self._entries_by_id.get(observation.node_id)
        if entry is None:
            entry = self._add(observation)
        elif observation.incarnation > entry.incarnation:
            self._start_incarnation(entry, observation)
        if observation.incarnation < entry.incarnation:
            return False
        if observation.phase is NodePhase.DRAINING:
            self._set_phase(entry, NodePhase.DRAINING)
        if observation.sequence <= entry.sequence:
            return False
        self._update(entry, observation)
        return True

    def _add(self, observation: _Observation) -> _Entry:
        entry = _Entry(
            node_id=observation.node_id,
            zone=observation.zone,
            region=observation.region,
            address=observation.address,
            limits=self._local_zone_limits
            if observation.zone == self._zone
            else self._other_zones_limits,
            incarnation=observation.incarnation,
            last_seen_s=observation.last_seen_s,
        )
        self._entries_by_id[observation.node_id] = entry
        self.version += 1
        return entry

    def _set_phase(self, entry: _Entry, phase: NodePhase) -> None:
        if entry.phase is not phase:
            entry.phase = phase
            self.version += 1

    def _start_incarnation(self, entry: _Entry, observation: _Observation) -> None:
        entry.damper.record_flap(now_s=observation.last_seen_s)
        entry.incarnation = observation.incarnation
        entry.sequence = -1
        self._set_phase(entry, observation.phase)
        entry.last_seen_s = max(entry.last_seen_s, observation.last_seen_s)

    def _update(self, entry: _Entry, observation: _Observation) -> None:
        if observation.last_seen_s - entry.last_seen_s >= entry.limits.suspect_s:
            self.version += 1
            entry.damper.record_flap(now_s=observation.last_seen_s)
        entry.sequence = observation.sequence
        entry.last_seen_s = max(entry.last_seen_s, observation.last_seen_s)
        entry.address = observation.address
        if entry.configuration_revision != observation.configuration_revision:
            entry.configuration_revision = observation.configuration_revision
            self.version += 1
        if entry.phase is not NodePhase.DRAINING:
            self._set_phase(entry, observation.phase)

    def _liveness(self, entry: _Entry, *, now_s: float) -> NodeLiveness:
        silence_s = now_s - entry.last_seen_s
        is_silent = silence_s >= entry.limits.suspect_s
        platform_state = self._platform_state(entry.node_id)
        if silence_s >= entry.limits.gone_s:
            return NodeLiveness.GONE
        # The VM list lags behind: it may list a node as gone that has just started.
        if is_silent and platform_state == PlatformState.GONE:
            return NodeLiveness.GONE
        if entry.phase is NodePhase.DRAINING:
            return NodeLiveness.LEAVING
        if platform_state == PlatformState.LEAVING:
            return NodeLiveness.LEAVING
        return NodeLiveness.SUSPECT if is_silent else NodeLiveness.LIVE
