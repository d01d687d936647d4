"""Network addresses of the form ``host:port``."""

from __future__ import annotations

import attrs

__all__ = ["HostPort"]

MAX_PORT = 65_535


@attrs.frozen(kw_only=True)
class HostPort:
    """A network address, split into host and port."""

    host: str
    port: int

    @classmethod
    def try_parse(cls, text: str) -> HostPort | None:
        """Parse a text, or return None if it is not a valid ``host:port``."""
        host, _, port = text.rpartition(":")
        if not host or not (port.isascii() and port.isdecimal()):
            return None
        # The length is checked first, as the conversion of long texts is slow.
        if len(port) > len(str(MAX_PORT)) or not 0 < int(port) <= MAX_PORT:
            return None
        return cls(host=host, port=int(port))

    @classmethod
    def parse(cls, address: str) -> HostPort:
        """Split a validated ``host:port``.

        Args:
            address: The address.

        Raises:
            ValueError: The port is not a number.
        """
        host, _, port = address.rpartition(":")
        return cls(host=host, port=int(port))
