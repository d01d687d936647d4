"""Reads request bodies within the node's memory limits."""

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
"""Bodies up to this size do not count against the byte budget."""


class BodyReader:
    """Reads whole bodies; large ones count against the node's byte budget.

    Args:
        dispatcher: Actor that owns the byte budget.
        max_body_bytes: Size limit of a body.
    """

    def __init__(self, *, dispatcher: pykka.ActorRef, max_body_bytes: int):
        self._dispatcher = dispatcher
        self._max_body_bytes = max_body_bytes

    def read(self) -> bytes:
        """Read the body of the current CherryPy request.

        Raises:
            RefusedError: The body is too large, too slow, malformed or incomplete,
                or the node's byte budget is exhausted.
        """
        declared = cherrypy.request.headers.get("Content-Length")
        chunked = "Transfer-Encoding" in cherrypy.request.headers
        if declared is None and not chunked:
            return b""
        size_bytes = self._max_body_bytes if chunked else int(declared)
        if size_bytes > self._max_body_bytes:
            raise RefusedError(refusals.too_large(self._max_body_bytes))
        self._reserve(size_bytes)
        body = _read_body(size_bytes + 1 if chunked else size_bytes)
        if len(body) > self._max_body_bytes:
            raise RefusedError(refusals.too_large(self._max_body_bytes))
        if not chunked and len(body) < size_bytes:
            raise RefusedError(refusals.bad_body("the body ends early"))
        return body

    def _reserve(self, size_bytes: int) -> None:
        """Reserve bytes of the budget; CherryPy's end-of-request hook releases them."""
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


def _read_body(size_bytes: int) -> bytes:
    try:
        return cherrypy.request.rfile.read(size_bytes)
    except TimeoutError:
        raise RefusedError(refusals.slow_body()) from None
    except ValueError as error:
        raise RefusedError(refusals.bad_body(str(error))) from None
