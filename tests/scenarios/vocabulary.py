"""The words that scenario files may use, apart from the grammar's own."""

from __future__ import annotations

__all__ = [
    "ACTIONS",
    "COUNTERS",
    "MEASURES",
    "PART_KINDS",
    "TRAFFICS",
    "TRAFFIC_OPTIONS",
]

PART_KINDS = frozenset({"zone", "node", "engine", "service"})
"""Kinds of parts that a fleet consists of."""

ACTIONS = frozenset(
    {
        "kill",
        "start",
        "restart",
        "freeze",
        "shut-down",
        "leave",
        "drain",
        "set",
        "isolate",
        "cut-from-platform",
        "silence",
        "roll-out",
    }
)
"""Actions on parts."""

TRAFFICS = frozenset({"completions", "bookings", "configurations"})
"""Kinds of traffic."""

TRAFFIC_OPTIONS = {
    "completions": frozenset(
        {"prefixes", "blocks", "tokens", "organisations", "shift", "poison", "pause_ms"}
    ),
    "bookings": frozenset({"keyed", "repeat", "pause_ms"}),
    "configurations": frozenset({"pause_ms", "same_base"}),
}
"""Options by kind of traffic."""

COUNTERS = frozenset({"answers", "tokens", "bookings", "revisions"})
"""What a trigger can count."""

MEASURES = frozenset(
    {
        "answered",
        "booked",
        "hit-rate",
        "hit-rate-after-restart",
        "accepted",
        "resumed",
        "refused",
        "crashed-engines",
    }
)
"""What an expectation can bound."""
