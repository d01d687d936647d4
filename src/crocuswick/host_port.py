"""An address in its two parts."""

from __future__ import annotations

import attrs

__all__ = ["HostPort"]


@attrs.frozen(kw_only=True)
class HostPort:
    """Where something listens."""

    host: str
    port: int

    @classmethod
    def read(cls, text: str) -> HostPort | None:
        """Return the parts of a text, None where it is no ``host:port``."""
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal():
            return None
        return cls(host=host, port=int(port))

    @classmethod
    def parse(cls, address: str) -> HostPort:
        """Split a checked ``host:port``.

        Args:
            address: The address.

        Raises:
            ValueError: The port is no number.
        """
        host, _, port = address.rpartition(":")
        return cls(host=host, port=int(port))
