"""Definitions that TCP and UDP routes of the relay share."""

from __future__ import annotations

import attrs

__all__ = ["MODES", "RouteFaults", "RouteSpec", "split_address"]

MODES = (
    "pass",
    "silent_existing",
    "silent",
    "cut_to_target",
    "cut_to_client",
    "refuse",
)

TO_TARGET = "to_target"
TO_CLIENT = "to_client"


@attrs.frozen(kw_only=True)
class RouteSpec:
    """Definition of a route."""

    name: str
    target: str
    protocol: str = "tcp"
    port: int = 0


@attrs.frozen(kw_only=True)
class RouteFaults:
    """Fault settings of a route."""

    mode: str = "pass"
    delay_ms: int = 0
    drop_rate: float = 0.0

    def lets_pass(self, direction: str) -> bool:
        """Return whether data is relayed in a direction."""
        return self.mode not in ("silent", "refuse", f"cut_{direction}")


def split_address(address: str) -> tuple[str, int]:
    """Split an address of the form ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
