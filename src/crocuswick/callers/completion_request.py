"""Parses and validates the bodies of completion requests."""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from crocuswick.block_key import count_tokens
from crocuswick.errors import Refusal

if TYPE_CHECKING:
    from crocuswick.configuration import Configuration

__all__ = ["CompletionRequest", "Dialect", "parse_completion"]

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32768
INTERACTIVE_PRIORITY = 0
BATCH_PRIORITY = 5
PRIORITIES_BY_NAME = {"interactive": INTERACTIVE_PRIORITY, "batch": BATCH_PRIORITY}
ROLES = frozenset({"system", "developer", "user", "assistant", "tool"})
SAMPLING_OPTIONS = ("temperature", "top_p", "seed", "stop", "presence_penalty")


class Dialect(StrEnum):
    """The two API forms of a completion request."""

    TEXT = "text"
    """``/v1/completions`` with a ``prompt``."""

    CHAT = "chat"
    """``/v1/chat/completions`` with ``messages``."""


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """A validated completion request."""

    request_id: str
    organisation: str
    dialect: Dialect
    model: str
    """Public model name that the caller used."""

    engine_model: str
    """Model name that the engines use."""

    weights_version: str
    pool: str
    prompt: str
    max_tokens: int
    priority: int
    stream: bool
    deadline_ms: int
    options: Mapping[str, Any]


class _FieldError(Exception):
    def __init__(self, field: str, detail: str):
        super().__init__(detail)
        self.field = field
        self.detail = detail


def parse_completion(
    *,
    body: bytes,
    dialect: Dialect,
    request_id: str,
    organisation: str,
    priority_name: str,
    configuration: Configuration,
) -> Result[CompletionRequest, Refusal]:
    """Validate a request body and resolve its model.

    Args:
        body: Request body as received.
        dialect: API form of the request.
        request_id: Id that this node has assigned to the request.
        organisation: Id of the caller's organisation.
        priority_name: ``"interactive"`` or ``"batch"``.
        configuration: Configuration in force.

    Returns:
        The request, or a refusal that names the offending field.
    """
    try:
        data = _decode(body)
        policy = configuration.policy_for_model(_required_text(data, "model"))
        if policy is None:
            raise _FieldError("model", f"unknown model {data['model']!r}")
        version = configuration.model_versions_by_id[policy.model_version]
        prompt = _prompt(data, dialect)
        max_tokens = _max_tokens(data)
        _check_context(prompt, max_tokens, version.max_context_tokens, dialect)
        _check_single(data)
        priority = _priority(priority_name)
    except _FieldError as error:
        return Err(_bad_field(error))
    deadline_ms = (
        policy.interactive_deadline_ms
        if priority == INTERACTIVE_PRIORITY
        else policy.batch_deadline_ms
    )
    return Ok(
        CompletionRequest(
            request_id=request_id,
            organisation=organisation,
            dialect=dialect,
            model=policy.model,
            engine_model=version.model,
            weights_version=version.weights_version,
            pool=policy.pool,
            prompt=prompt,
            max_tokens=max_tokens,
            priority=priority,
            stream=_is_true(data, "stream"),
            deadline_ms=deadline_ms,
            options={name: data[name] for name in SAMPLING_OPTIONS if name in data},
        )
    )


def _decode(body: bytes) -> dict[str, Any]:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _FieldError("body", f"the body is not JSON: {error}") from error
    if not isinstance(data, dict):
        raise _FieldError("body", "the body must be a JSON object")
    return data


def _required_text(data: dict[str, Any], field: str) -> str:
    value = data.get(field)
    if not isinstance(value, str) or not value:
        raise _FieldError(field, f"{field} must be a non-empty string")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise _FieldError(field, f"{field} contains a lone surrogate") from error
    return value


def _prompt(data: dict[str, Any], dialect: Dialect) -> str:
    if dialect == Dialect.TEXT:
        return _required_text(data, "prompt")
    messages = data.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _FieldError("messages", "messages must be a non-empty list")
    parts = [_render_message(message, index) for index, message in enumerate(messages)]
    return "".join(parts) + "<|assistant|>\n"


def _render_message(message: Any, index: int) -> str:
    field = f"messages[{index}]"
    if not isinstance(message, dict):
        raise _FieldError(field, f"{field} must be an object")
    role = message.get("role")
    if role not in ROLES:
        raise _FieldError(f"{field}.role", f"{field}.role is not a known role")
    content = message.get("content")
    if isinstance(content, list):
        content = "".join(
            _content_part_text(part, f"{field}.content") for part in content
        )
    if not isinstance(content, str):
        raise _FieldError(f"{field}.content", f"{field}.content must be text")
    return f"<|{role}|>\n{_required_text({field: content}, field)}\n"


def _content_part_text(part: Any, field: str) -> str:
    if not isinstance(part, dict) or not isinstance(part.get("text"), str):
        raise _FieldError(field, f"{field} may contain text parts only")
    return part["text"]


def _max_tokens(data: dict[str, Any]) -> int:
    field = "max_completion_tokens" if "max_completion_tokens" in data else "max_tokens"
    value = data.get(field)
    if value is None:
        return DEFAULT_MAX_TOKENS
    if isinstance(value, bool) or not isinstance(value, int):
        raise _FieldError(field, f"{field} must be an integer")
    if not 1 <= value <= MAX_TOKENS_LIMIT:
        raise _FieldError(field, f"{field} must be from 1 to {MAX_TOKENS_LIMIT}")
    return value


def _check_context(
    prompt: str, max_tokens: int, max_context_tokens: int, dialect: Dialect
) -> None:
    tokens = count_tokens(prompt) + max_tokens
    if tokens > max_context_tokens:
        field = "prompt" if dialect == Dialect.TEXT else "messages"
        raise _FieldError(
            field,
            f"{tokens} tokens of prompt and completion exceed the model's "
            f"context of {max_context_tokens}",
        )


def _check_single(data: dict[str, Any]) -> None:
    if data.get("n") not in (None, 1):
        raise _FieldError("n", "only one completion per request is supported")


def _priority(name: str) -> int:
    priority = PRIORITIES_BY_NAME.get(name)
    if priority is None:
        raise _FieldError("X-Priority", "X-Priority must be 'interactive' or 'batch'")
    return priority


def _is_true(data: dict[str, Any], field: str) -> bool:
    return data.get(field) is True


def _bad_field(error: _FieldError) -> Refusal:
    return Refusal(
        status=404 if error.field == "model" else 400,
        title="invalid-request",
        detail=error.detail,
        step="validation",
        field=error.field,
    )
