"""Callers that stream completions and make bookings, and record the results."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

import attrs
import sseclient
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from tests.fakes.engine_text import expected_answer
from tests.scenarios.history import Booking, Completion, Ending, Interval
from tests.scenarios.recorder import now_s

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.balancer import Balancer, NodeAddress
    from tests.scenarios.recorder import Recorder

__all__ = ["BookingCaller", "CompletionCaller", "CompletionRequest", "Organisation"]

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 6.0
CALL_DEADLINE_S = 30.0
RETRY_DELAY_S = 0.1
BOOKING_TIMEOUT_S = 12.0
MAX_BOOKING_ATTEMPTS = 6
READ_CHUNK_BYTES = 65536
ANSWER_TOKEN_CHARACTERS = 8
"""Characters of a fake engine's token: a space and seven letters or digits."""

END_OF_STREAM = "[DONE]"


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation's id and the secret of its callers."""

    id: str
    secret: str

    def headers(self) -> dict[str, str]:
        """Return the headers that every call sends."""
        return {
            "Authorization": f"Bearer {self.secret}",
            "Content-Type": "application/json",
        }


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """A completion that a caller requests."""

    organisation: Organisation
    model: str
    prompt: str
    max_tokens: int
    poison: bool = False

    def expected_tokens(self) -> tuple[str, ...]:
        """Return the tokens of the complete answer."""
        text = expected_answer(self.prompt, self.max_tokens)
        return tuple(
            text[start : start + ANSWER_TOKEN_CHARACTERS]
            for start in range(0, len(text), ANSWER_TOKEN_CHARACTERS)
        )

    def body(self) -> bytes:
        """Return the request body."""
        fields = {
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": True,
        }
        return json.dumps(fields).encode()


@attrs.define(kw_only=True)
class _Progress:
    """What a caller has received of one answer."""

    expected: tuple[str, ...]
    """The tokens of the complete answer."""

    request_id: str = ""
    node: str = ""
    """The node that the next attempt avoids if it can; empty: none."""

    nodes: list[str] = attrs.field(factory=list)
    """The nodes that responded, in order."""

    endpoint: str = ""
    text: str = ""
    indexes: list[int] = attrs.field(factory=list)
    answer_ids: list[str] = attrs.field(factory=list)
    last_event_id: str = ""
    finish_reason: str = ""
    first_token_s: float | None = None
    cached_tokens: int = 0
    resumptions: int = 0
    ending: Ending = Ending.UNREACHABLE
    status: int = 0
    problem: dict[str, Any] = attrs.field(factory=dict)
    outcome: str = ""
    retry_after: bool = False

    def index_of(self, token: str) -> int:
        """Return a token's index in the expected answer, or -1 if it is not in it."""
        next_index = len(self.indexes)
        if next_index < len(self.expected) and self.expected[next_index] == token:
            return next_index
        return self.expected.index(token) if token in self.expected else -1


def _ending_of(error: Exception) -> Ending:
    """Return how a failed exchange ended for its caller."""
    if isinstance(error, (NewConnectionError, ConnectTimeoutError)):
        return Ending.UNREACHABLE
    if isinstance(error, ReadTimeoutError):
        return Ending.SILENT
    return Ending.CUT


def _problem_of(data: bytes | str) -> dict[str, Any]:
    try:
        problem = json.loads(data)
    except ValueError:
        return {"detail": f"no problem document: {data[:80]!r}"}
    return problem if isinstance(problem, dict) else {"detail": str(problem)}


class CompletionCaller:
    """Runs completions; resumes an interrupted stream where it ended."""

    def __init__(self, *, balancer: Balancer, recorder: Recorder):
        self._balancer = balancer
        self._recorder = recorder
        self._http = urllib3.PoolManager(retries=False, maxsize=4)

    def run(self, request: CompletionRequest) -> Completion:
        """Run one completion to its end, with resumptions, and record it."""
        started_s = now_s()
        progress = _Progress(expected=request.expected_tokens())
        deadline_s = time.monotonic() + CALL_DEADLINE_S
        while True:
            self._try_node(request, progress)
            if not self._should_reconnect(progress, deadline_s):
                break
            progress.resumptions += progress.ending is not Ending.UNREACHABLE
            time.sleep(RETRY_DELAY_S)
        record = self._record(request, progress, started_s)
        self._recorder.add(record)
        if record.ending is Ending.DONE:
            self._recorder.increment("answers")
        return record

    def _should_reconnect(self, progress: _Progress, deadline_s: float) -> bool:
        """Return whether to connect again.

        A refusal is final, except when a resumption is refused with Retry-After.
        """
        if time.monotonic() > deadline_s:
            return False
        if progress.ending is Ending.REFUSED:
            return bool(progress.last_event_id) and progress.retry_after
        return progress.ending in (Ending.CUT, Ending.SILENT, Ending.UNREACHABLE)

    def _try_node(self, request: CompletionRequest, progress: _Progress) -> None:
        avoid = frozenset({progress.node}) if progress.node else frozenset()
        node = self._balancer.choose(avoid=avoid)
        try:
            response = self._open(node, request, progress)
        except HTTPError as error:
            progress.ending = _ending_of(error)
            progress.problem = {"detail": f"{node.node}: {error}"}
            if progress.ending is not Ending.UNREACHABLE:
                progress.node = progress.node or node.node
            return
        progress.nodes.append(node.node)
        progress.node = node.node
        progress.status = response.status
        try:
            self._read(response, progress)
        finally:
            response.close()

    def _open(
        self, node: NodeAddress, request: CompletionRequest, progress: _Progress
    ) -> urllib3.BaseHTTPResponse:
        headers = request.organisation.headers()
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        if progress.last_event_id:
            headers["Last-Event-ID"] = progress.last_event_id
            return self._http.request(
                "GET",
                f"{node.url}/v1/streams",
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
        return self._http.request(
            "POST",
            f"{node.url}/v1/completions",
            body=request.body(),
            headers=headers,
            timeout=timeout,
            preload_content=False,
        )

    def _read(self, response: urllib3.BaseHTTPResponse, progress: _Progress) -> None:
        resumed = bool(progress.last_event_id)
        if not resumed or not progress.request_id:
            progress.request_id = response.headers.get("X-Crocuswick-Request-Id", "")
        progress.endpoint = response.headers.get("X-Crocuswick-Endpoint", "")
        try:
            if response.status != 200:
                self._read_refusal(response, progress)
                return
            self._read_events(response, progress)
        except (HTTPError, OSError) as error:
            progress.ending = _ending_of(error)
            progress.problem = {"detail": f"{progress.node}: {error}"}

    def _read_refusal(
        self, response: urllib3.BaseHTTPResponse, progress: _Progress
    ) -> None:
        progress.problem = _problem_of(response.read())
        progress.outcome = response.headers.get("X-Crocuswick-Outcome", "")
        progress.retry_after = "Retry-After" in response.headers
        progress.ending = Ending.REFUSED

    def _read_events(
        self, response: urllib3.BaseHTTPResponse, progress: _Progress
    ) -> None:
        progress.ending = Ending.CUT
        progress.problem = {"detail": f"{progress.node}: ended early"}
        for event in sseclient.SSEClient(_chunks(response)).events():
            if event.data == END_OF_STREAM:
                progress.ending = Ending.DONE
                return
            if event.event == "error":
                progress.problem = _problem_of(event.data)
                progress.outcome = str(progress.problem.get("outcome", ""))
                progress.ending = Ending.ERROR
                return
            self._apply_chunk(json.loads(event.data), event.id, progress)

    def _apply_chunk(
        self, chunk: dict[str, Any], event_id: str | None, progress: _Progress
    ) -> None:
        """Add one chunk of the answer to the progress."""
        choice = chunk["choices"][0]
        if progress.first_token_s is None:
            progress.first_token_s = now_s()
        progress.text += choice["text"]
        if choice["text"]:
            progress.indexes.append(progress.index_of(choice["text"]))
            self._recorder.increment("tokens")
        if chunk["id"] not in progress.answer_ids:
            progress.answer_ids.append(chunk["id"])
        progress.finish_reason = choice["finish_reason"] or ""
        progress.last_event_id = event_id or progress.last_event_id
        details = chunk.get("usage", {}).get("prompt_tokens_details", {})
        progress.cached_tokens = details.get("cached_tokens", progress.cached_tokens)

    def _record(
        self, request: CompletionRequest, progress: _Progress, started_s: float
    ) -> Completion:
        ending = progress.ending
        if ending is Ending.REFUSED and progress.last_event_id:
            # The answer had begun, so this does not count as a refusal of the request.
            ending = Ending.ERROR
        return Completion(
            interval=Interval(start_s=started_s, end_s=now_s()),
            request_id=progress.request_id,
            organisation=request.organisation.id,
            model=request.model,
            prompt=request.prompt,
            expected_text="".join(progress.expected),
            node=(progress.nodes or [progress.node])[0],
            nodes=tuple(progress.nodes),
            ending=ending,
            status=progress.status,
            outcome=progress.outcome if ending is Ending.REFUSED else "",
            step=str(progress.problem.get("step", "")),
            detail=str(progress.problem.get("detail", "")),
            retry_after=progress.retry_after,
            endpoint=progress.endpoint,
            text=progress.text,
            event_indexes=tuple(progress.indexes),
            answer_ids=tuple(progress.answer_ids),
            finish_reason=progress.finish_reason,
            resumptions=progress.resumptions,
            first_token_s=progress.first_token_s,
            cached_tokens=progress.cached_tokens,
            poison=request.poison,
        )


def _chunks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    while chunk := response.read1(READ_CHUNK_BYTES):
        yield chunk


class BookingCaller:
    """Makes bookings; repeats an attempt only if that can't create a second booking."""

    def __init__(self, *, balancer: Balancer, recorder: Recorder, prefix: str):
        self._balancer = balancer
        self._recorder = recorder
        self._prefix = prefix
        self._http = urllib3.PoolManager(retries=False, maxsize=4)

    def run(self, *, organisation: Organisation, key: str, seat: str) -> Booking:
        """Make one booking, in at most `MAX_BOOKING_ATTEMPTS` attempts.

        With an idempotency key, it is repeated until it is confirmed; without one,
        only if the previous attempt was not run.
        """
        avoid: frozenset[str] = frozenset()
        for attempt in range(MAX_BOOKING_ATTEMPTS):
            record = self._attempt(organisation, key, seat, avoid)
            self._recorder.add(record)
            if record.ending is Ending.DONE:
                self._recorder.increment("bookings")
                break
            if not key and record.outcome != "not_run":
                # Without a key a repeat might make a second booking.
                break
            avoid = frozenset({record.node})
            time.sleep(RETRY_DELAY_S * 2**attempt)
        return record

    def _attempt(
        self,
        organisation: Organisation,
        key: str,
        seat: str,
        avoid: frozenset[str],
    ) -> Booking:
        node = self._balancer.choose(avoid=avoid)
        fields: dict[str, Any] = {
            "organisation": organisation.id,
            "key": key,
            "seat": seat,
            "node": node.node,
        }
        started_s = now_s()
        try:
            response = self._send(node, organisation, key, seat)
        except HTTPError as error:
            ending = _ending_of(error)
            outcome = "not_run" if ending is Ending.UNREACHABLE else "unknown"
            fields |= {"request_id": "", "ending": ending, "outcome": outcome}
            fields["detail"] = str(error)
        else:
            fields |= _booking_fields(response)
        interval = Interval(start_s=started_s, end_s=now_s())
        return Booking(interval=interval, **fields)

    def _send(
        self, node: NodeAddress, organisation: Organisation, key: str, seat: str
    ) -> urllib3.BaseHTTPResponse:
        headers = organisation.headers()
        if key:
            headers["Idempotency-Key"] = key
        return self._http.request(
            "POST",
            f"{node.url}/services/{self._prefix}/bookings",
            body=json.dumps({"seat": seat}).encode(),
            headers=headers,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=BOOKING_TIMEOUT_S),
        )


def _booking_fields(response: urllib3.BaseHTTPResponse) -> dict[str, Any]:
    document = _problem_of(response.data)
    fields = {
        "request_id": response.headers.get("X-Crocuswick-Request-Id", ""),
        "status": response.status,
    }
    if response.status == 201:
        return {
            **fields,
            "ending": Ending.DONE,
            "booking": str(document.get("booking", "")),
            "booked_seat": str(document.get("seat", "")),
        }
    return {
        **fields,
        "ending": Ending.REFUSED,
        "outcome": response.headers.get("X-Crocuswick-Outcome", ""),
        "step": str(document.get("step", "")),
        "detail": str(document.get("detail", "")),
    }
