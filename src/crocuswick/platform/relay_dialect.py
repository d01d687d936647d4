"""Converts requests and responses between the platform's headers and the relay."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from crocuswick.errors import Refusal
from crocuswick.platform import _names as names
from crocuswick.platform._availability import decode_availability
from crocuswick.relay.relay_request import (
    Attempt,
    CallerRequest,
    Prompt,
    PromptSegment,
    ResponseHead,
    RoutedRequest,
)
from crocuswick.relay.upstream import UpstreamRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crocuswick.relay.upstream import UpstreamResponse

__all__ = ["RelayDialect"]

MAX_SEGMENTS = 256
"""Prompt segments that are read from the header; further ones are ignored."""

MAX_NUMBER_DIGITS = 12
FIRST_ERROR_STATUS = 400


class RelayDialect:
    """Implementation of the relay's `Dialect` with the platform's headers."""

    def decode_request(
        self,
        *,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes | bytearray,
        received_s: float,
    ) -> Result[CallerRequest, Refusal]:
        """Decode a caller's request.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Headers as received.
            body: Whole body.
            received_s: Monotonic time at which the request arrived.

        Returns:
            The request, or a refusal that names the invalid header.
        """
        values_by_name = {name.lower(): value for name, value in headers}
        request_id = values_by_name.get(names.ATTEMPT_ID.lower(), "")
        if not request_id:
            return Err(_malformed(names.ATTEMPT_ID))
        prompt = _decode_prompt(values_by_name)
        if prompt.is_err():
            return prompt
        return Ok(
            CallerRequest(
                request_id=request_id,
                method=method,
                target=target,
                host=values_by_name.get("host", "").partition(":")[0].lower(),
                headers=_end_to_end(headers, names.NODE_ONLY_HEADERS),
                body=body,
                key=_key(values_by_name),
                time_budget_ms=_number(values_by_name, names.TIME_BUDGET),
                last_event_id=_number(values_by_name, names.LAST_EVENT_ID),
                prompt=prompt.ok_value,
                received_s=received_s,
                stated_tokens=_stated_tokens(values_by_name),
            )
        )

    def encode_attempt(
        self,
        *,
        request: RoutedRequest,
        attempt: Attempt,
        budget_ms: int,
        last_event_id: int | None,
    ) -> UpstreamRequest:
        """Encode a request to a replica.

        Args:
            request: The request.
            attempt: Replica and options of this attempt.
            budget_ms: Remaining time budget of the request.
            last_event_id: Event after which to resume a stream, None to start it.
        """
        headers = list(request.caller.headers)
        optional = {
            names.TENANT: attempt.tenant,
            names.CACHE_SALT: attempt.cache_salt,
            names.FETCH_KV_FROM: attempt.fetch_kv_from,
            names.STORE_KV_TO: attempt.store_kv_to,
            names.ENGINE_PRIORITY: attempt.engine_priority,
            names.EXPECTED_WEIGHTS: attempt.expected_weights_version,
            names.LAST_EVENT_ID: last_event_id,
        }
        headers += [
            (name, str(value))
            for name, value in optional.items()
            if value is not None and value != ""
        ]
        headers.append((names.EXPECTED_REPLICA, attempt.replica_id))
        headers.append((names.TIME_BUDGET, str(max(1, budget_ms))))
        if request.caller.body or request.caller.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(request.caller.body))))
        headers.append(("Connection", "close"))
        return UpstreamRequest(
            method=request.caller.method,
            target=request.caller.target,
            headers=tuple(headers),
            body=request.caller.body,
        )

    def decode_response(self, response: UpstreamResponse) -> ResponseHead:
        """Decode the head of a replica's response.

        Args:
            response: Status and headers.
        """
        values_by_name = {name.lower(): value for name, value in response.headers}
        encoding = values_by_name.get("content-encoding", "identity")
        return ResponseHead(
            status=response.status,
            reason=response.reason,
            headers=_end_to_end(response.headers, frozenset({"content-length"})),
            request_id=values_by_name.get(names.ATTEMPT_ID.lower()),
            is_signed=names.REPLICA_SIGNATURE.lower() in values_by_name,
            is_not_run=_is_not_run(response.status, values_by_name),
            replica_id=values_by_name.get(names.REPLICA_ID.lower()),
            weights_version=_number(values_by_name, names.WEIGHTS_VERSION),
            is_encoded=encoding.strip().lower() not in ("", "identity"),
            is_framed=response.is_framed,
            availability=decode_availability(response.status, response.headers),
        )


def _is_not_run(status: int, values_by_name: Mapping[str, str]) -> bool:
    """Whether an answer says that its replica did not run the request."""
    return status >= FIRST_ERROR_STATUS and names.NOT_RUN.lower() in values_by_name


def _end_to_end(
    headers: tuple[tuple[str, str], ...], dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers except for hop-by-hop headers and those in ``dropped``."""
    listed = {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
    # A caller must not use Connection to remove its request id or host.
    listed -= {names.ATTEMPT_ID.lower(), "host"}
    excluded = names.HOP_BY_HOP | dropped | listed
    return tuple(
        (name, value) for name, value in headers if name.lower() not in excluded
    )


def _key(values_by_name: Mapping[str, str]) -> str | None:
    value = values_by_name.get(names.AUTHORIZATION.lower(), "")
    if not value.startswith(names.KEY_SCHEME):
        return None
    return value.removeprefix(names.KEY_SCHEME).strip()


def _number(values_by_name: Mapping[str, str], name: str) -> int | None:
    value = values_by_name.get(name.lower(), "").strip()
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_NUMBER_DIGITS):
        return None
    return int(value)


def _stated_tokens(values_by_name: Mapping[str, str]) -> int | None:
    counts = _token_counts(values_by_name)
    return sum(counts) if counts is not None else None


def _token_counts(values_by_name: Mapping[str, str]) -> tuple[int, int] | None:
    counts = values_by_name.get(names.TOKEN_COUNTS.lower(), "").split(",")
    if len(counts) != 2 or not all(_is_number(count) for count in counts):
        return None
    return int(counts[0]), int(counts[1])


def _decode_prompt(values_by_name: Mapping[str, str]) -> Result[Prompt | None, Refusal]:
    model = values_by_name.get(names.MODEL.lower(), "")
    if not model:
        return Ok(None)
    counts = _token_counts(values_by_name)
    if counts is None:
        return Err(_malformed(names.TOKEN_COUNTS))
    segments = _decode_segments(values_by_name.get(names.PROMPT_SEGMENTS.lower(), ""))
    if segments is None:
        return Err(_malformed(names.PROMPT_SEGMENTS))
    return Ok(
        Prompt(
            model=model,
            prompt_tokens=counts[0],
            max_output_tokens=counts[1],
            segments=segments,
        )
    )


def _decode_segments(text: str) -> tuple[PromptSegment, ...] | None:
    if not text.strip():
        return ()
    segments = []
    for entry in text.split(",")[:MAX_SEGMENTS]:
        segment_id, _, tokens = entry.strip().partition(":")
        if not segment_id or not _is_number(tokens):
            return None
        segments.append(PromptSegment(id=segment_id.lower(), tokens=int(tokens)))
    return tuple(segments)


def _is_number(text: str) -> bool:
    text = text.strip()
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS


def _malformed(header: str) -> Refusal:
    return Refusal(
        status=400,
        title="bad-request",
        detail=f"The header {header} is missing or malformed.",
        step="decode request",
        field=header,
    )
