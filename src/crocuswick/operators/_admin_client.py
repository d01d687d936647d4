"""Calls of a node's operators' port."""

from __future__ import annotations

import json
from typing import Any

import attrs
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from crocuswick.outcome import Outcome

__all__ = ["AdminAnswer", "AdminClient", "AdminError"]

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 20.0


@attrs.frozen(kw_only=True)
class AdminAnswer:
    """An answer of the operators' port."""

    status: int
    """HTTP status."""

    body: dict[str, Any]
    """Decoded body."""


@attrs.frozen(kw_only=True)
class AdminError:
    """No answer came from the operators' port."""

    detail: str
    """What happened, for people."""

    outcome: Outcome
    """Whether the request may have taken effect."""


class AdminClient:
    """Talks to one node's operators' port."""

    def __init__(self, *, node: str, secret: str):
        self._headers = {
            "Authorization": f"Bearer {secret}",
            "Content-Type": "application/json",
        }
        self._pool = urllib3.connection_from_url(f"http://{node}", retries=False)
        self._node = node

    def get(self, path: str) -> Result[AdminAnswer, AdminError]:
        """Read a page.

        Args:
            path: Path below ``/v1/``.
        """
        return self._call("GET", path, None)

    def post(self, path: str, body: Any) -> Result[AdminAnswer, AdminError]:
        """Send a JSON body.

        Args:
            path: Path below ``/v1/``.
            body: Plain JSON value.
        """
        return self._call("POST", path, json.dumps(body).encode())

    def _call(
        self, method: str, path: str, body: bytes | None
    ) -> Result[AdminAnswer, AdminError]:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        try:
            response = self._pool.request(
                method, f"/v1/{path}", body=body, headers=self._headers, timeout=timeout
            )
            return Ok(AdminAnswer(status=response.status, body=response.json()))
        except (NewConnectionError, ConnectTimeoutError):
            detail = f"{self._node} cannot be reached"
            return Err(AdminError(detail=detail, outcome=Outcome.NOT_RUN))
        except (HTTPError, ValueError) as error:
            detail = f"{self._node} gave no sound answer: {error}"
            return Err(AdminError(detail=detail, outcome=Outcome.UNKNOWN))
