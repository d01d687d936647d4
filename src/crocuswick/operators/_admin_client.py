"""HTTP client of a node's operators' port."""

from __future__ import annotations

import json
from typing import Any

import attrs
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from crocuswick.bounded_answer import bounded_pool
from crocuswick.host_port import HostPort
from crocuswick.malformed import MALFORMED
from crocuswick.outcome import Outcome

__all__ = ["AdminClient", "AdminError", "AdminResponse"]

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 20.0


@attrs.frozen(kw_only=True)
class AdminResponse:
    """A response of the operators' port."""

    status: int
    """HTTP status."""

    body: dict[str, Any]
    """Decoded JSON body."""


@attrs.frozen(kw_only=True)
class AdminError:
    """A call without a valid response."""

    detail: str
    """Human-readable description of the error."""

    outcome: Outcome
    """Whether the request may have taken effect."""


class AdminClient:
    """Client of one node's operators' port.

    Args:
        node: Address of the port, as ``host:port``.
        secret: The operators' key.
    """

    def __init__(self, *, node: str, secret: str):
        self._headers = {
            "Authorization": f"Bearer {secret}",
            "Content-Type": "application/json",
        }
        peer = HostPort.parse(node)
        self._pool = bounded_pool(peer.host, peer.port)
        self._node = node

    def get(self, path: str) -> Result[AdminResponse, AdminError]:
        """Send a GET request.

        Args:
            path: Path below ``/v1/``.
        """
        return self._call("GET", path, None)

    def post(self, path: str, body: Any) -> Result[AdminResponse, AdminError]:
        """Send a POST request with a JSON body.

        Args:
            path: Path below ``/v1/``.
            body: Plain JSON value.
        """
        return self._call("POST", path, json.dumps(body).encode())

    def _call(
        self, method: str, path: str, body: bytes | None
    ) -> Result[AdminResponse, AdminError]:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        try:
            response = self._pool.request(
                method, f"/v1/{path}", body=body, headers=self._headers, timeout=timeout
            )
            return Ok(AdminResponse(status=response.status, body=response.json()))
        except (NewConnectionError, ConnectTimeoutError):
            detail = f"cannot connect to {self._node}"
            return Err(AdminError(detail=detail, outcome=Outcome.NOT_RUN))
        except (HTTPError, *MALFORMED) as error:
            detail = f"no valid response from {self._node}: {error}"
            return Err(AdminError(detail=detail, outcome=Outcome.UNKNOWN))
