"""Reads the bodies of callers' requests within the node's bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cherrypy

from crocuswick.callers import _refusals as refusals
from crocuswick.callers._refusals import RefusedError
from crocuswick.dispatcher import Dispatcher

if TYPE_CHECKING:
    import pykka

__all__ = ["BodyReader"]

SMALL_BODY_BYTES = 64 * 1024


class BodyReader:
    """Reads whole bodies; large ones count against the node's budget of bytes.

    Args:
        dispatcher: Owns the budget.
        max_body_bytes: Largest body accepted.
    """

    def __init__(self, *, dispatcher: pykka.ActorRef, max_body_bytes: int):
        self._dispatcher = dispatcher
        self._max_body_bytes = max_body_bytes

    def read(self) -> bytes:
        """Read the body of the request that this thread serves.

        Raises:
            RefusedError: The body is too large, too slow, malformed or incomplete,
                or the node holds as many bytes as it may.
        """
        declared = cherrypy.request.headers.get("Content-Length")
        chunked = "Transfer-Encoding" in cherrypy.request.headers
        if declared is None and not chunked:
            return b""
        size_bytes = self._max_body_bytes if chunked else int(declared)
        if size_bytes > self._max_body_bytes:
            raise RefusedError(refusals.too_large(self._max_body_bytes))
        self._reserve(size_bytes)
        body = _received(size_bytes + 1 if chunked else size_bytes)
        if len(body) > self._max_body_bytes:
            raise RefusedError(refusals.too_large(self._max_body_bytes))
        if not chunked and len(body) < size_bytes:
            raise RefusedError(refusals.bad_body("the body ends early"))
        return body

    def _reserve(self, size_bytes: int) -> None:
        """Reserve bytes until the request has ended, however it ends."""
        if size_bytes <= SMALL_BODY_BYTES:
            return
        message = Dispatcher.ReserveBytes(size_bytes=size_bytes)
        reserved = self._dispatcher.ask(message)
        if reserved.is_err():
            raise RefusedError(reserved.err_value)
        release = Dispatcher.ReleaseBytes(size_bytes=size_bytes)
        cherrypy.request.hooks.attach(
            "on_end_request", lambda: self._dispatcher.tell(release)
        )


def _received(size_bytes: int) -> bytes:
    try:
        return cherrypy.request.rfile.read(size_bytes)
    except TimeoutError:
        raise RefusedError(refusals.slow_body()) from None
    except ValueError as error:
        raise RefusedError(refusals.bad_body(str(error))) from None
