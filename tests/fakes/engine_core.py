"""The state and scheduling of the fake engine: queue, batch, cache and orders.

It simulates continuous batching in real time, with configured costs. Each step
prefills a limited number of prompt tokens, for requests in the order of `Job.rank`,
and decodes one token for each request whose prefill is done.
"""

from __future__ import annotations

import os
import time
import uuid
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any

import attrs

from tests.fakes.engine_cache import PrefixCache, key_to_hex
from tests.fakes.engine_jobs import Completion, Job, JobState, StreamStop, Subscription
from tests.fakes.engine_load import LoadSamples
from tests.fakes.http_service import Reply
from tests.fakes.task import Task

if TYPE_CHECKING:
    from tests.fakes.engine_faults import EngineFaults
    from tests.fakes.engine_history import EngineHistory
    from tests.fakes.engine_messages import (
        Cancel,
        CopyHistory,
        ImportKeys,
        LoadEnded,
        Order,
        ReadCacheEvents,
        ReadExport,
        ReadLoad,
        ReadSnapshot,
        ReadState,
        Restart,
        Resume,
        SetFaults,
        Unsubscribe,
    )
    from tests.fakes.engine_orders import ServingState

__all__ = ["EngineCosts", "EngineTask"]

CRASH_EXIT_CODE = 70
"""Exit code of a simulated crash; scenario runs restart a process that ends with it."""

TOKEN_COUNT_FAULTS = frozenset({"crash_after_tokens", "freeze_after_tokens"})
SWEEP_INTERVAL_S = 0.25
"""Interval at which expired and unattended requests are removed."""


@attrs.frozen(kw_only=True)
class EngineCosts:
    """Simulated costs and limits of an engine."""

    prefill_us_per_token: float
    decode_ms: float
    max_running: int
    max_queued: int
    prefill_chunk_tokens: int
    capacity_blocks: int
    finished_retention_s: float
    unattended_timeout_s: float


@attrs.frozen(kw_only=True)
class WaitingEventsRead:
    """A long poll for cache events that has not been answered yet."""

    after: int
    until_s: float
    reply: Future[dict[str, Any]]


class EngineTask(Task):
    """The task that owns all state of the engine."""

    def __init__(
        self,
        *,
        costs: EngineCosts,
        faults: EngineFaults,
        serving_state: ServingState,
        history: EngineHistory,
    ):
        super().__init__(name="engine")
        self._costs = costs
        self._faults = faults
        self._serving_state = serving_state
        self._history = history
        self._load_samples = LoadSamples()
        self._tokens_until_fault = 0
        self._arrivals = 0
        self._sweep_due_s = 0.0
        self._step_due_s: float | None = None
        self._chunks_by_job: dict[Job, int] = {}
        self._waiting: list[WaitingEventsRead] = []
        self._begin_incarnation()

    @property
    def incarnation(self) -> str:
        """Id of the engine's current incarnation."""
        return self._history.incarnation

    def _begin_incarnation(self) -> None:
        self._history.begin_incarnation(uuid.uuid4().hex[:16])
        self._jobs_by_id: dict[str, Job] = {}
        self._active: list[Job] = []
        self._cache = PrefixCache(capacity_blocks=self._costs.capacity_blocks)
        self._apply_faults()

    # Requests

    def on_completion(self, completion: Completion) -> Reply | Subscription:
        """Queue a request, or return a refusal."""
        refusal = self._refusal(completion)
        if refusal:
            return refusal
        self._arrivals += 1
        job = Job.from_completion(completion, arrival=self._arrivals)
        self._jobs_by_id[completion.request_id] = job
        self._active.append(job)
        self._history.start_request(job, served_version=self._served_version(job))
        subscription = job.subscribe(start=0)
        self._begin_step()
        return subscription

    def on_resume(self, message: Resume) -> Subscription | None:
        """Subscribe to the events of a request, or return None if it is unknown."""
        job = self._jobs_by_id.get(message.request_id)
        return job.subscribe(start=message.start) if job else None

    def on_unsubscribe(self, message: Unsubscribe) -> None:
        """End a connection's subscription to its request."""
        job = self._jobs_by_id.get(message.request_id)
        if job:
            job.unsubscribe(message.subscription)

    def on_cancel(self, message: Cancel) -> bool:
        """Cancel a request and return whether it was still active."""
        job = self._jobs_by_id.get(message.request_id)
        if job is None or not job.is_active:
            return False
        self._end_job(job, JobState.CANCELLED, stop=StreamStop.CANCELLED)
        return True

    def _refusal(self, completion: Completion) -> Reply | None:
        queued = sum(job.state is JobState.QUEUED for job in self._active)
        if self._faults.leaving:
            return _not_run("leaving")
        if self._serving_state.is_loading:
            return _not_run("loading")
        if self._faults.busy or queued >= self._costs.max_queued:
            return _not_run("busy")
        version = self._serving_state.version_by_model.get(completion.model)
        if version != completion.weights_version:
            body = {"error": "weights_version", "run": False, "serves": version}
            return Reply(status=409, body=body)
        return None

    # Steps

    def next_due_s(self) -> float | None:
        """Return the time at which a step, a sweep or a long poll is due."""
        times = [waiting.until_s for waiting in self._waiting]
        visible = [
            self._cache.next_visible_s(after=item.after) for item in self._waiting
        ]
        times += [time_s for time_s in visible if time_s is not None]
        if self._step_due_s is not None:
            times.append(self._step_due_s)
        if self._jobs_by_id:
            times.append(self._sweep_due_s)
        return min(times, default=None)

    def on_due(self) -> None:
        """End the step, remove old requests and answer the long polls that are due."""
        now_s = time.monotonic()
        if self._step_due_s is not None and self._step_due_s <= now_s:
            self._end_step()
            self._begin_step()
        if self._sweep_due_s <= now_s:
            self._sweep(now_s)
        self._answer_waiting(now_s)

    def _begin_step(self) -> None:
        if self._step_due_s is not None or self._faults.freeze:
            return
        self._admit()
        self._chunks_by_job = self._plan_prefill()
        decodes = any(job.state is JobState.DECODE for job in self._active)
        if not self._chunks_by_job and not decodes:
            return
        prefill_us = (
            sum(self._chunks_by_job.values()) * self._costs.prefill_us_per_token
        )
        decode_us = self._costs.decode_ms * 1000 if decodes else 0
        self._step_due_s = time.monotonic() + (prefill_us + decode_us) / 1e6

    def _admit(self) -> None:
        queued = [job for job in self._active if job.state is JobState.QUEUED]
        free = self._costs.max_running - (len(self._active) - len(queued))
        for job in sorted(queued, key=lambda job: job.rank)[: max(0, free)]:
            marker = self._faults.poison_marker
            if marker and marker in job.completion.prompt:
                os._exit(CRASH_EXIT_CODE)
            job.begin_prefill(cached_blocks=self._cache.match(job.keys))

    def _plan_prefill(self) -> dict[Job, int]:
        budget = self._costs.prefill_chunk_tokens
        chunks: dict[Job, int] = {}
        prefilling = [job for job in self._active if job.state is JobState.PREFILL]
        for job in sorted(prefilling, key=lambda job: job.rank):
            if budget <= 0:
                break
            chunks[job] = min(budget, job.prefill_tokens_left)
            budget -= chunks[job]
        return chunks

    def _end_step(self) -> None:
        self._step_due_s = None
        decoding = [job for job in self._active if job.state is JobState.DECODE]
        for job, chunk in self._chunks_by_job.items():
            if job.state is not JobState.PREFILL:
                continue
            job.prefill_tokens_left -= chunk
            if job.prefill_tokens_left <= 0:
                job.state = JobState.DECODE
                self._cache.store(job.keys)
                decoding.append(job)
        for job in decoding:
            self._generate(job)
        self._sample_load()

    def _generate(self, job: Job) -> None:
        job.generate()
        if not job.is_active:
            self._remove_active(job)
        self._count_token()

    def _count_token(self) -> None:
        if self._tokens_until_fault == 0:
            return
        self._tokens_until_fault -= 1
        if self._tokens_until_fault > 0:
            return
        if self._faults.crash_after_tokens:
            os._exit(CRASH_EXIT_CODE)
        self._faults = attrs.evolve(self._faults, freeze=True)

    def _end_job(self, job: Job, state: JobState, *, stop: StreamStop) -> None:
        job.end(state, stop=stop)
        self._remove_active(job)

    def _remove_active(self, job: Job) -> None:
        self._active.remove(job)
        self._history.end_request(job, served_version=self._served_version(job))
        self._switch_when_idle()

    def _sweep(self, now_s: float) -> None:
        self._sweep_due_s = now_s + SWEEP_INTERVAL_S
        for request_id, job in list(self._jobs_by_id.items()):
            age_s = now_s - job.changed_s
            if not job.is_active and age_s > self._costs.finished_retention_s:
                del self._jobs_by_id[request_id]
            elif (
                job.is_active
                and not job.subscriptions
                and age_s > self._costs.unattended_timeout_s
            ):
                self._end_job(job, JobState.CANCELLED, stop=StreamStop.CANCELLED)

    # Load

    def on_read_load(self, message: ReadLoad) -> dict[str, Any]:
        """Return the load with the configured lag."""
        self._sample_load()
        report = self._load_samples.report(lag_s=self._load_lag_s)
        return {"incarnation": self.incarnation, **report}

    @property
    def _load_lag_s(self) -> float:
        return self._faults.load_lag_ms / 1000

    def _sample_load(self) -> None:
        self._load_samples.add(self._current_load(), lag_s=self._load_lag_s)

    def _current_load(self) -> dict[str, Any]:
        queued = [job for job in self._active if job.state is JobState.QUEUED]
        prefill = [job for job in self._active if job.state is JobState.PREFILL]
        waiting_tokens = sum(job.prompt_tokens for job in queued)
        waiting_tokens += sum(job.prefill_tokens_left for job in prefill)
        return {
            "models": dict(self._serving_state.version_by_model),
            "role": self._serving_state.role,
            "state": self._state_name(),
            "running": len(self._active) - len(queued),
            "queued": len(queued),
            "queued_tokens": waiting_tokens,
            "cached_blocks": len(self._cache),
            "capacity_blocks": self._costs.capacity_blocks,
            "prefill_tokens_per_s": 1e6 / max(0.001, self._costs.prefill_us_per_token),
            "decode_tokens_per_s": 1000 / max(0.001, self._costs.decode_ms),
        }

    def _state_name(self) -> str:
        if self._faults.leaving:
            return "leaving"
        return "loading" if self._serving_state.is_loading else "ready"

    # Cache

    def on_read_cache_events(
        self, message: ReadCacheEvents
    ) -> dict[str, Any] | Future[dict[str, Any]]:
        """Return the events at once if there are any, else when one becomes visible."""
        body = self._events_body(message.after)
        if body["events"] or message.wait_s <= 0:
            return body
        until_s = time.monotonic() + message.wait_s
        waiting = WaitingEventsRead(
            after=message.after, until_s=until_s, reply=Future()
        )
        self._waiting.append(waiting)
        return waiting.reply

    def on_read_snapshot(self, message: ReadSnapshot) -> dict[str, Any]:
        """Return the keys of all blocks."""
        return {
            "incarnation": self.incarnation,
            "next_seq": self._cache.next_seq,
            "keys": [key_to_hex(key) for key in self._cache.all_keys()],
        }

    def on_read_export(self, message: ReadExport) -> list[int]:
        """Return the given keys whose blocks are cached."""
        return self._cache.cached_keys(message.keys)

    def on_import_keys(self, message: ImportKeys) -> int:
        """Add blocks and return how many of them were new."""
        self._history.add_import(message)
        return self._cache.store(message.keys)

    def _events_body(self, after: int) -> dict[str, Any]:
        return {"incarnation": self.incarnation, **self._cache.events_body(after=after)}

    def _answer_waiting(self, now_s: float) -> None:
        for waiting in list(self._waiting):
            body = self._events_body(waiting.after)
            if body["events"] or waiting.until_s <= now_s:
                self._waiting.remove(waiting)
                waiting.reply.set_result(body)

    # Orders

    def on_order(self, order: Order) -> Reply:
        """Accept an order, or refuse it for an outdated fencing token."""
        fenced = self._serving_state.is_fenced(order)
        self._history.add_order(order, fenced=fenced)
        if fenced:
            return self._serving_state.fenced_reply()
        must_load = self._serving_state.accept(
            order, must_fail=self._faults.fail_orders
        )
        return Reply(body={"accepted": True, "must_load": must_load})

    def on_load_ended(self, message: LoadEnded) -> None:
        """Serve the new weights as soon as no request runs on the old ones."""
        self._serving_state.end_load(message)
        self._switch_when_idle()

    def on_read_state(self, message: ReadState) -> dict[str, Any]:
        """Return what the engine serves and the state of its last orders."""
        return {
            "incarnation": self.incarnation,
            "state": self._state_name(),
            **self._serving_state.state(),
        }

    def _switch_when_idle(self) -> None:
        if not self._active and self._serving_state.switch():
            self._cache.clear()

    def _served_version(self, job: Job) -> str:
        return self._serving_state.version_by_model.get(job.completion.model, "")

    # Control

    def on_set_faults(self, message: SetFaults) -> None:
        """Apply new fault settings."""
        self._faults = message.faults
        if self._faults.crash:
            os._exit(CRASH_EXIT_CODE)
        if message.changed & TOKEN_COUNT_FAULTS:
            counts = self._faults.crash_after_tokens, self._faults.freeze_after_tokens
            self._tokens_until_fault = max(counts)
        self._apply_faults()
        self._begin_step()

    def on_restart(self, message: Restart) -> str:
        """Begin a new incarnation without requests and blocks, and return its id."""
        for job in list(self._active):
            self._end_job(job, JobState.LOST, stop=StreamStop.RESET)
        self._step_due_s = None
        self._serving_state.discard_load()
        self._begin_incarnation()
        return self.incarnation

    def on_copy_history(self, message: CopyHistory) -> dict[str, Any]:
        """Copy the history, including requests that have not ended."""
        active = [(job, self._served_version(job)) for job in self._active]
        return self._history.copy(active=active)

    def _apply_faults(self) -> None:
        faults = self._faults
        self._cache.event_delay_s = faults.event_delay_ms / 1000
        self._cache.event_drop_rate = faults.event_drop_rate


def _not_run(error: str) -> Reply:
    body = {"error": error, "run": False}
    return Reply(status=503, body=body, headers={"Retry-After": "1"})
