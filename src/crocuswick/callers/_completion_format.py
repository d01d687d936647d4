"""Renders completions in the usual JSON and server-sent-event shapes."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

from crocuswick.callers.completion_request import Dialect

if TYPE_CHECKING:
    from crocuswick.callers.completion import Delivery
    from crocuswick.callers.completion_request import CompletionRequest

DONE_EVENT = b"data: [DONE]\n\n"


class CompletionFormat:
    """Renders the answer to one request.

    Args:
        request: The request, which decides the shape.
    """

    def __init__(
        self, *, request_id: str, dialect: str, model: str, created_s: int | None = None
    ):
        self._dialect = dialect
        prefix = "chatcmpl" if dialect == Dialect.CHAT else "cmpl"
        self._head = {
            "id": f"{prefix}-{request_id}",
            "created": int(time.time()) if created_s is None else created_s,
            "model": model,
        }
        self._first = True

    @classmethod
    def of(cls, request: CompletionRequest) -> CompletionFormat:
        """Return the format for a request."""
        return cls(
            request_id=request.request_id, dialect=request.dialect, model=request.model
        )

    def event(self, delivery: Delivery) -> bytes:
        """Return the server-sent event of one token."""
        chunk = {
            **self._head,
            "object": self._object("chat.completion.chunk"),
            "choices": [self._chunk_choice(delivery)],
        }
        if delivery.finish_reason is not None:
            chunk["usage"] = usage(delivery)
        self._first = False
        data = json.dumps(chunk, separators=(",", ":"))
        return f"id: {delivery.resume_token}\ndata: {data}\n\n".encode()

    def document(self, text: str, last: Delivery) -> bytes:
        """Return the whole answer as one JSON document.

        Args:
            text: Text of all tokens.
            last: The last delivery.
        """
        choice: dict[str, Any] = {"index": 0, "finish_reason": last.finish_reason}
        if self._dialect == Dialect.CHAT:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        document = {
            **self._head,
            "object": self._object("chat.completion"),
            "choices": [choice],
            "usage": usage(last),
        }
        return json.dumps(document).encode()

    def _object(self, chat_name: str) -> str:
        return chat_name if self._dialect == Dialect.CHAT else "text_completion"

    def _chunk_choice(self, delivery: Delivery) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": delivery.finish_reason}
        if self._dialect == Dialect.CHAT:
            role = {"role": "assistant"} if self._first else {}
            choice["delta"] = {**role, "content": delivery.text}
        else:
            choice["text"] = delivery.text
        return choice


def usage(last: Delivery) -> dict[str, Any]:
    """Return the usage object of an answer."""
    return {
        "prompt_tokens": last.prompt_tokens,
        "completion_tokens": last.completion_tokens,
        "total_tokens": last.prompt_tokens + last.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": last.cached_tokens},
    }


def error_event(problem: bytes) -> bytes:
    """Return the event that ends a stream whose answer is not whole."""
    return b"event: error\ndata: " + problem + b"\n\n"
