"""Requests inside the fake engine, and the messages about them."""

from __future__ import annotations

import json
import queue
import time
from enum import StrEnum
from typing import Any

import attrs

from crocuswick.actor import Message
from crocuswick.block_key import BLOCK_TOKENS, block_keys, count_tokens
from tests.fakes.engine_cache import key_to_hex
from tests.fakes.engine_text import CONTEXT_BYTES, next_token, prompt_digest
from tests.fakes.http_service import wall_ms

__all__ = [
    "Completion",
    "Job",
    "JobState",
    "StreamStop",
    "Subscription",
    "TokenEvent",
]


class JobState(StrEnum):
    """State of a request."""

    QUEUED = "queued"
    PREFILL = "prefill"
    DECODE = "decode"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    LOST = "lost"


@attrs.frozen(kw_only=True)
class Completion(Message):
    """A completion request, as received."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    weights_version: str
    cache_salt: str = ""
    priority: int = 5
    """Requests with a lower value run first."""

    deadline_ms: int | None = None
    """Milliseconds after arrival; None or 0: no deadline."""

    stream: bool = True


@attrs.frozen(kw_only=True)
class TokenEvent:
    """Event of one generated token."""

    request_id: str
    index: int
    text: str
    finish_reason: str | None
    cached_tokens: int
    prompt_tokens: int

    def encoded(self) -> bytes:
        """Return the event as a server-sent event."""
        data = json.dumps(attrs.asdict(self))
        return f"id: {self.index}\ndata: {data}\n\n".encode()


class StreamStop(StrEnum):
    """How a stream ends after its events."""

    DONE = "done"
    CANCELLED = "cancelled"
    RESET = "reset"


@attrs.frozen(kw_only=True, eq=False)
class Subscription:
    """A connection's subscription to the events of a request."""

    start: int
    items: queue.SimpleQueue[TokenEvent | StreamStop] = attrs.field(
        factory=queue.SimpleQueue
    )


@attrs.define(kw_only=True, eq=False)
class Job:
    """A request in the engine."""

    completion: Completion
    arrival: int
    keys: list[int]
    prompt_tokens: int
    state: JobState = JobState.QUEUED
    cached_tokens: int = 0
    prefill_tokens_left: int = 0
    context: str = ""
    events: list[TokenEvent] = attrs.field(factory=list)
    subscriptions: list[Subscription] = attrs.field(factory=list)
    start_ms: int = attrs.field(factory=wall_ms)
    end_ms: int | None = None
    due_s: float = 0.0
    """Monotonic time of the deadline; infinite without one."""

    changed_s: float = attrs.field(factory=time.monotonic)
    """Monotonic time at which the request arrived, lost a connection or ended."""

    @classmethod
    def from_completion(cls, completion: Completion, *, arrival: int) -> Job:
        """Create the job of a request.

        Args:
            completion: The request.
            arrival: Sequence number by order of arrival.

        Returns:
            A queued job.
        """
        deadline_s = (completion.deadline_ms or 0) / 1000 or float("inf")
        return cls(
            completion=completion,
            arrival=arrival,
            keys=block_keys(completion.prompt, salt=completion.cache_salt),
            prompt_tokens=count_tokens(completion.prompt),
            context=completion.prompt[-CONTEXT_BYTES:],
            due_s=time.monotonic() + deadline_s,
        )

    @property
    def rank(self) -> tuple[int, float, int]:
        """Sort key of the queue: priority, then deadline, then arrival."""
        return self.completion.priority, self.due_s, self.arrival

    @property
    def is_active(self) -> bool:
        """Whether the request has not ended."""
        return self.state in (JobState.QUEUED, JobState.PREFILL, JobState.DECODE)

    def begin_prefill(self, *, cached_blocks: int) -> None:
        """Move from the queue to prefill, with a number of cached blocks."""
        self.state = JobState.PREFILL
        # The last token is always computed, as its output is needed.
        self.cached_tokens = min(
            cached_blocks * BLOCK_TOKENS, max(0, self.prompt_tokens - 1)
        )
        self.prefill_tokens_left = self.prompt_tokens - self.cached_tokens

    def generate(self) -> None:
        """Generate the next token and send it to the subscribers."""
        token = next_token(self.context)
        self.context = (self.context + token)[-CONTEXT_BYTES:]
        index = len(self.events)
        is_last = index + 1 >= self.completion.max_tokens
        event = TokenEvent(
            request_id=self.completion.request_id,
            index=index,
            text=token,
            finish_reason="length" if is_last else None,
            cached_tokens=self.cached_tokens,
            prompt_tokens=self.prompt_tokens,
        )
        self.events.append(event)
        for subscription in self.subscriptions:
            if index >= subscription.start:
                subscription.items.put(event)
        if is_last:
            self.end(JobState.FINISHED, stop=StreamStop.DONE)

    def end(self, state: JobState, *, stop: StreamStop) -> None:
        """End the request and its streams."""
        self.state = state
        self.end_ms = wall_ms()
        self.changed_s = time.monotonic()
        for subscription in self.subscriptions:
            subscription.items.put(stop)

    def subscribe(self, *, start: int) -> Subscription:
        """Create a subscription to the events from an index on."""
        subscription = Subscription(start=start)
        for event in self.events[start:]:
            subscription.items.put(event)
        if self.state is JobState.FINISHED:
            subscription.items.put(StreamStop.DONE)
        elif not self.is_active:
            subscription.items.put(StreamStop.CANCELLED)
        self.subscriptions.append(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Remove a subscription."""
        if subscription in self.subscriptions:
            self.subscriptions.remove(subscription)
        self.changed_s = time.monotonic()

    def record(self, *, incarnation: str) -> dict[str, Any]:
        """Return the history record of the request for the checkers."""
        return {
            "request_id": self.completion.request_id,
            "incarnation": incarnation,
            "model": self.completion.model,
            "cache_salt": self.completion.cache_salt,
            "weights_version": self.completion.weights_version,
            "block_keys": [key_to_hex(key) for key in self.keys],
            "prompt_digest": prompt_digest(self.completion.prompt),
            "priority": self.completion.priority,
            "prompt_tokens": self.prompt_tokens,
            "cached_tokens": self.cached_tokens,
            "recomputed_tokens": self._recomputed_tokens(),
            "generated_tokens": len(self.events),
            "start_ms": self.start_ms,
            "end_ms": self.end_ms,
            "outcome": str(self.state),
        }

    def _recomputed_tokens(self) -> int:
        if self.state is JobState.QUEUED:
            return 0
        return self.prompt_tokens - self.cached_tokens - self.prefill_tokens_left
