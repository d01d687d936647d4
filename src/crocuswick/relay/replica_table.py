"""Table of replicas, from store entries that may be stale, truncated or forged."""

from __future__ import annotations

import attrs

from crocuswick.relay.replica import Replica, ReplicaState

__all__ = ["ReplicaTable"]

MAX_REMEMBERED = 4096
"""Limit on remembered replicas that are draining or removed; late entries must not make
them usable again."""


@attrs.define(kw_only=True)
class _Removal:
    """A replica whose entry was deleted."""

    replica: Replica
    takes_effect_s: float


class ReplicaTable:
    """Keeps the latest valid entry of each replica."""

    def __init__(self):
        self._replicas_by_id: dict[str, Replica] = {}
        self._removals_by_id: dict[str, _Removal] = {}
        self._draining_incarnations: dict[str, None] = {}
        self._removed_by_id: dict[str, Replica] = {}

    def update(self, replica: Replica) -> bool:
        """Update a replica from its store entry.

        An incarnation that has reported draining stays draining. Reports older than
        the latest one are ignored, also those of earlier incarnations and those that
        were written before a removal: the store may execute a write late, and one that
        returns from an older copy has old entries again.

        Args:
            replica: The entry.

        Returns:
            Whether anything except the report number changed.
        """
        known = self._replicas_by_id.get(replica.id)
        if known is not None and _is_older(replica, known):
            return False
        removed = self._removed_by_id.get(replica.id)
        if replica.id in self._removals_by_id:
            removed = known
        if removed is not None and not _is_older(removed, replica):
            return False
        if replica.state is ReplicaState.DRAINING:
            self._remember_draining(replica.incarnation)
        elif replica.incarnation in self._draining_incarnations:
            replica = attrs.evolve(replica, state=ReplicaState.DRAINING)
        self._removals_by_id.pop(replica.id, None)
        self._removed_by_id.pop(replica.id, None)
        self._replicas_by_id[replica.id] = replica
        unnumbered = attrs.evolve(replica, report_number=0)
        return known is None or unnumbered != attrs.evolve(known, report_number=0)

    def mark_leaving(self, incarnation: str) -> bool:
        """Mark an incarnation as draining for good, whatever its entries say.

        Returns:
            Whether it was not known to be draining.
        """
        if incarnation in self._draining_incarnations:
            return False
        self._remember_draining(incarnation)
        for replica_id, replica in self._replicas_by_id.items():
            if replica.incarnation == incarnation:
                self._replicas_by_id[replica_id] = attrs.evolve(
                    replica, state=ReplicaState.DRAINING
                )
        return True

    def remove(self, replica_id: str, *, takes_effect_s: float) -> None:
        """Schedule the removal of a replica whose entry was deleted.

        Args:
            replica_id: Id of the replica.
            takes_effect_s: Monotonic time from which the replica counts as removed
                unless its entry returns before.
        """
        replica = self._replicas_by_id.get(replica_id)
        if replica is not None and replica_id not in self._removals_by_id:
            self._removals_by_id[replica_id] = _Removal(
                replica=replica, takes_effect_s=takes_effect_s
            )

    def usable(self, service: str, now_s: float) -> list[Replica]:
        """Return the replicas of a service that may take new requests.

        Args:
            service: Name of the service.
            now_s: Monotonic time.
        """
        self._drop_removed(now_s)
        return [
            replica
            for replica in self._replicas_by_id.values()
            if replica.service == service and replica.state is ReplicaState.READY
        ]

    def is_ready(self, incarnation: str, now_s: float) -> bool:
        """Whether an incarnation may take new requests."""
        self._drop_removed(now_s)
        return any(
            replica.incarnation == incarnation and replica.state is ReplicaState.READY
            for replica in self._replicas_by_id.values()
        )

    def find(self, replica_id: str, now_s: float) -> Replica | None:
        """Return a replica by its id, or None if it is unknown or removed."""
        self._drop_removed(now_s)
        return self._replicas_by_id.get(replica_id)

    def is_superseded(self, incarnation: str, now_s: float) -> bool:
        """Whether a later incarnation of a replica is known."""
        replica_id, _, started_ms = incarnation.rpartition("@")
        latest = self.find(replica_id, now_s) or self._removed_by_id.get(replica_id)
        return (
            latest is not None
            and started_ms.isdigit()
            and int(started_ms) < latest.started_ms
        )

    def all(self, now_s: float) -> list[Replica]:
        """Return all replicas that are not removed."""
        self._drop_removed(now_s)
        return list(self._replicas_by_id.values())

    def _drop_removed(self, now_s: float) -> None:
        due = [
            replica_id
            for replica_id, removal in self._removals_by_id.items()
            if removal.takes_effect_s <= now_s
        ]
        for replica_id in due:
            del self._removals_by_id[replica_id]
            removed = self._replicas_by_id.pop(replica_id)
            _make_room(self._removed_by_id)
            self._removed_by_id[replica_id] = removed

    def _remember_draining(self, incarnation: str) -> None:
        _make_room(self._draining_incarnations)
        self._draining_incarnations[incarnation] = None


def _make_room(remembered: dict[str, object]) -> None:
    if len(remembered) >= MAX_REMEMBERED:
        del remembered[next(iter(remembered))]


def _is_older(entry: Replica, known: Replica) -> bool:
    if entry.started_ms != known.started_ms:
        return entry.started_ms < known.started_ms
    return entry.report_number < known.report_number
