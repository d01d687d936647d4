"""HTTP calls to engines and KV stores, each on a new connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from crocuswick.bounded_answer import Answer, bounded_pool, fetch
from crocuswick.errors import PeerError
from crocuswick.host_port import HostPort
from crocuswick.malformed import MALFORMED
from crocuswick.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    import urllib3

__all__ = ["call", "call_error"]


def call(
    step: str,
    name: str,
    address: str,
    *,
    method: str,
    path: str,
    headers: Mapping[str, str],
    timeout: urllib3.Timeout,
    body: bytes | None = None,
) -> Result[Answer, PeerError]:
    """Make one call and read the whole response.

    Args:
        step: Name of the operation, used in errors.
        name: Id of the engine or name of the store, used in errors.
        address: ``host:port``.
        method: Method of the request.
        path: Path and query.
        headers: Headers in addition to ``Connection``.
        timeout: Connect timeout and read timeout.
        body: Request body, or None for a request without a body.
    """
    peer = HostPort.parse(address)
    pool = bounded_pool(peer.host, peer.port)
    try:
        return Ok(
            fetch(
                pool,
                method,
                path,
                body=body,
                headers={**headers, "Connection": "close"},
                timeout=timeout,
            )
        )
    except (HTTPError, OSError, *MALFORMED) as error:
        return Err(call_error(step, name, f"{type(error).__name__}: {error}"))
    finally:
        pool.close()


def call_error(step: str, name: str, detail: str) -> PeerError:
    """Return an error with unknown outcome: the call may have taken effect."""
    return PeerError(step=step, peer=name, detail=detail, outcome=Outcome.UNKNOWN)
