"""Bounded queue of the requests that a node holds back."""

from __future__ import annotations

import attrs

__all__ = ["HeldRequest", "HeldRequests"]

MAX_HELD = 48
"""Requests that a node holds at once. Each occupies one of its 192 threads."""

EQUAL_TURNS = 8
"""Each turn of this number orders requests regardless of their priority, so that a less
urgent kind is delayed but not starved."""

FORGET_AFTER_S = 1.0
"""Time after which a request that has not asked again has left."""


@attrs.define(kw_only=True)
class HeldRequest:
    """A held request with what determines its place in the queue."""

    request_id: str
    service: str
    priority: int
    """0 is the highest."""

    is_large: bool
    is_over_share: bool
    """Whether its organisation uses much more than the others."""

    is_returned: bool
    """Whether it was refused before."""

    in_time_until_s: float
    """Time until which it can be sent to be answered within its target latency."""

    asked_s: float = 0.0

    def is_late(self, now_s: float) -> bool:
        """Return whether it can no longer be answered within its target latency."""
        return now_s > self.in_time_until_s

    def rank(self, now_s: float, *, with_priority: bool = True) -> tuple:
        """Return the sort key; lower ones are sent first.

        Requests that can still be answered in time go first, whatever their priority: a
        late answer has little value. Requests of organisations above their share go
        behind others of their priority. Returned requests precede the others that are
        late. At the very front, under a lasting overload, they would make all others
        late as well.
        """
        is_late = self.is_late(now_s)
        return (
            is_late,
            self.priority if with_priority else 0,
            self.is_over_share,
            not self.is_returned,
            self.in_time_until_s,
            self.request_id,
        )


class HeldRequests:
    """The requests that a node holds, by service."""

    def __init__(self, *, capacity: int = MAX_HELD):
        self._capacity = capacity
        self._held_by_id: dict[str, HeldRequest] = {}
        self._turns = 0

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request is held."""
        return request_id in self._held_by_id

    def put(self, held: HeldRequest, now_s: float) -> None:
        """Add a request or update it."""
        held.asked_s = now_s
        self._held_by_id[held.request_id] = held

    def discard(self, request_id: str) -> None:
        """Remove a request if it is held."""
        if self._held_by_id.pop(request_id, None) is not None:
            self._turns += 1

    def ahead_of(self, held: HeldRequest, now_s: float) -> int:
        """Return the number of held requests of the same service that go before it."""
        self._forget(now_s)
        rank = self._rank(held, now_s)
        return sum(
            each.service == held.service
            and each.is_large == held.is_large
            and self._rank(each, now_s) < rank
            for each in self._held_by_id.values()
        )

    def count(self, service: str, *, is_large: bool) -> int:
        """Return the number of held requests of a service and size class."""
        return sum(
            each.service == service and each.is_large == is_large
            for each in self._held_by_id.values()
        )

    def is_full_for(self, held: HeldRequest, now_s: float) -> bool:
        """Return whether there is no place for a request in the queue.

        That is also the case for a held request that others have displaced.
        """
        self._forget(now_s)
        others = [
            each
            for each in self._held_by_id.values()
            if each.request_id != held.request_id
        ]
        if len(others) < self._capacity:
            return False
        last = max(others, key=lambda each: each.rank(now_s))
        return held.rank(now_s) > last.rank(now_s)

    def first(
        self, service: str, now_s: float, *, is_large: bool
    ) -> HeldRequest | None:
        """Return the next request of a service and size class, or None."""
        self._forget(now_s)
        held = [
            each
            for each in self._held_by_id.values()
            if each.service == service and each.is_large == is_large
        ]
        if not held:
            return None
        return min(held, key=lambda each: self._rank(each, now_s))

    def _rank(self, held: HeldRequest, now_s: float) -> tuple:
        return held.rank(now_s, with_priority=self._turns % EQUAL_TURNS != 0)

    def _forget(self, now_s: float) -> None:
        gone = [
            each.request_id
            for each in self._held_by_id.values()
            if now_s - each.asked_s > FORGET_AFTER_S
        ]
        for request_id in gone:
            del self._held_by_id[request_id]
