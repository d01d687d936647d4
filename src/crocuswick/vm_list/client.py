"""HTTP client of the platform's VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cattrs
import urllib3
from result import Err, Ok

from crocuswick.bounded_answer import bounded_pool
from crocuswick.errors import PeerError
from crocuswick.host_port import HostPort
from crocuswick.malformed import MALFORMED
from crocuswick.outcome import Outcome
from crocuswick.vm_list.listing import VmListing

if TYPE_CHECKING:
    from result import Result

__all__ = ["VmListClient"]

TIMEOUT_S = 2.0
"""Timeout for reading the list."""

_HTTP_OK = 200


class VmListClient:
    """Reads the VM list; for use by one thread."""

    def __init__(self, *, address: str, timeout_s: float = TIMEOUT_S):
        """Create a client.

        Args:
            address: ``host:port`` of the server that provides the list.
            timeout_s: Timeout for reading the list.
        """
        self._address = address
        self._timeout_s = timeout_s
        peer = HostPort.parse(address)
        self._pool = bounded_pool(peer.host, peer.port)

    def fetch(self) -> Result[VmListing, PeerError]:
        """Read the list."""
        timeout = urllib3.Timeout(total=self._timeout_s)
        try:
            response = self._pool.request("GET", "/v1/vms", timeout=timeout)
        except urllib3.exceptions.HTTPError as error:
            return self._error("read", f"{type(error).__name__}: {error}")
        if response.status != _HTTP_OK:
            return self._error("read", f"status {response.status}")
        try:
            return Ok(cattrs.structure(response.json(), VmListing))
        except (*MALFORMED, cattrs.BaseValidationError) as error:
            return self._error("decode", f"{type(error).__name__}: {error}")

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def _error(self, step: str, detail: str) -> Err[PeerError]:
        return Err(
            PeerError(
                step=step,
                peer=f"VM list {self._address}",
                detail=detail,
                outcome=Outcome.NOT_RUN,
            )
        )
