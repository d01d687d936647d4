"""Renders completions as JSON documents and server-sent events."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

from crocuswick.callers.completion_request import Dialect

if TYPE_CHECKING:
    from crocuswick.callers.completion_request import CompletionRequest
    from crocuswick.callers.delivery import Delivery

DONE_EVENT = b"data: [DONE]\n\n"
EMPTY_TEXT = '""'


class CompletionFormat:
    """Renders the response to one completion request.

    Args:
        request_id: Id of the request.
        dialect: API form of the request, which decides the response format.
        model: Model name that the caller used.
        created_s: Unix time of the response, now by default.
    """

    def __init__(
        self,
        *,
        request_id: str,
        dialect: Dialect,
        model: str,
        created_s: int | None = None,
    ):
        self._dialect = dialect
        prefix = "chatcmpl" if dialect == Dialect.CHAT else "cmpl"
        self._common_fields = {
            "id": f"{prefix}-{request_id}",
            "created": int(time.time()) if created_s is None else created_s,
            "model": model,
        }
        self._is_first = True
        self._chunk_template: tuple[str, str] | None = None

    @classmethod
    def of(cls, request: CompletionRequest) -> CompletionFormat:
        """Return the format for a request."""
        return cls(
            request_id=request.request_id, dialect=request.dialect, model=request.model
        )

    def event(self, delivery: Delivery) -> bytes:
        """Render one token as a server-sent event."""
        if self._is_first or delivery.finish_reason is not None:
            data = self._full_chunk(delivery)
        else:
            data = self._token_chunk(delivery.text)
        self._is_first = False
        return f"id: {delivery.resume_token}\ndata: {data}\n\n".encode()

    def _full_chunk(self, delivery: Delivery) -> str:
        choice = self._choice(delivery.finish_reason, delivery.text)
        chunk = self._chunk_document(choice)
        if delivery.finish_reason is not None:
            chunk["usage"] = usage(delivery)
        return _compact(chunk)

    def _token_chunk(self, text: str) -> str:
        """Render a chunk from a template; only its text differs from other chunks."""
        if self._chunk_template is None:
            empty = _compact(self._chunk_document(self._choice(None, "")))
            head, _, tail = empty.rpartition(EMPTY_TEXT)
            self._chunk_template = (head, tail)
        head, tail = self._chunk_template
        return f"{head}{json.dumps(text)}{tail}"

    def _chunk_document(self, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            **self._common_fields,
            "object": self._object("chat.completion.chunk"),
            "choices": [choice],
        }

    def document(self, text: str, last: Delivery) -> bytes:
        """Render the whole response as one JSON document.

        Args:
            text: Text of all tokens.
            last: Delivery of the last token.
        """
        choice: dict[str, Any] = {"index": 0, "finish_reason": last.finish_reason}
        if self._dialect == Dialect.CHAT:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        document = {
            **self._common_fields,
            "object": self._object("chat.completion"),
            "choices": [choice],
            "usage": usage(last),
        }
        return json.dumps(document).encode()

    def _object(self, chat_name: str) -> str:
        return chat_name if self._dialect == Dialect.CHAT else "text_completion"

    def _choice(self, finish_reason: str | None, text: str) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._dialect == Dialect.CHAT:
            role = {"role": "assistant"} if self._is_first else {}
            choice["delta"] = {**role, "content": text}
        else:
            choice["text"] = text
        return choice


def _compact(document: dict[str, Any]) -> str:
    return json.dumps(document, separators=(",", ":"))


def usage(last: Delivery) -> dict[str, Any]:
    """Return the ``usage`` object of a response."""
    return {
        "prompt_tokens": last.prompt_tokens,
        "completion_tokens": last.completion_tokens,
        "total_tokens": last.prompt_tokens + last.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": last.cached_tokens},
    }


def error_event(problem: bytes) -> bytes:
    """Render the event that ends an incomplete stream.

    Args:
        problem: Problem document with the reason.
    """
    return b"event: error\ndata: " + problem + b"\n\n"
