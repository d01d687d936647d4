"""Client for calls to plain services; each call is sent at most once."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import attrs
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from crocuswick.bounded_answer import bounded_pool, fetch
from crocuswick.errors import PeerError
from crocuswick.host_port import HostPort
from crocuswick.outcome import Outcome

if TYPE_CHECKING:
    import socket

__all__ = ["ServiceCall", "ServiceClient", "ServiceResponse"]

CONNECT_TIMEOUT_S = 0.5


@attrs.frozen(kw_only=True)
class ServiceCall:
    """Request that is sent to a plain service."""

    method: str
    path: str
    """Path and query below the service's address, beginning with ``/``."""

    headers: Mapping[str, str]
    body: bytes


@attrs.frozen(kw_only=True)
class ServiceResponse:
    """Complete response of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ServiceClient:
    """Sends each call on a new connection, so that none is lost on a stale one.

    Args:
        on_connect: Called with the socket of each call, None for nothing.
    """

    def __init__(self, *, on_connect: Callable[[socket.socket], None] | None = None):
        self._on_connect = on_connect

    def send(
        self, *, endpoint_id: str, address: str, call: ServiceCall, timeout_s: float
    ) -> Result[ServiceResponse, PeerError]:
        """Send a call once and read the complete response.

        Args:
            endpoint_id: Id used in errors.
            address: ``host:port``.
            call: The call.
            timeout_s: Seconds without a received byte after which the call fails.

        Returns:
            The response. An error's outcome is ``not_run`` only if no byte of the
            request was sent.
        """
        peer = HostPort.parse(address)
        pool = bounded_pool(peer.host, peer.port, on_connect=self._on_connect)
        try:
            answer = fetch(
                pool,
                call.method,
                call.path,
                headers=dict(call.headers),
                body=call.body or None,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Err(_error(endpoint_id, error, Outcome.NOT_RUN))
        except (HTTPError, OSError) as error:
            return Err(_error(endpoint_id, error, Outcome.UNKNOWN))
        finally:
            pool.close()
        return Ok(
            ServiceResponse(
                status=answer.status, headers=dict(answer.headers), body=answer.data
            )
        )


def _error(endpoint_id: str, error: Exception, outcome: Outcome) -> PeerError:
    return PeerError(
        step="service call", peer=endpoint_id, detail=str(error), outcome=outcome
    )
