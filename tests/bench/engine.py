"""Simulated engine: one prefill at a time, concurrent decoding, a small cache."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import attrs

from crocuswick.block_key import BLOCK_TOKENS
from crocuswick.cache_index import CacheEvent, CacheSnapshot
from crocuswick.kv_import import ImportCost
from crocuswick.load import LoadReport

if TYPE_CHECKING:
    from tests.bench.clock import VirtualClock

__all__ = ["BlockCache", "EngineModel", "EngineSpec", "Job"]

MODEL = "model"
WEIGHTS_VERSION = "v1"


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Speed and capacity of an engine."""

    capacity_blocks: int = 240
    """Capacity of the cache in blocks."""

    prefill_tokens_per_s: float = 20_000.0
    """Prefill speed while no request is decoding."""

    decode_step_s: float = 0.025
    """Time between two tokens of an answer in seconds."""

    decode_slowdown: float = 0.01
    """Relative increase of the prefill time for each decoding request."""

    max_running: int = 48
    """Maximum number of concurrently decoding requests."""

    import_cost: ImportCost = attrs.field(factory=ImportCost)
    """True cost of importing blocks."""


@attrs.define(kw_only=True, eq=False)
class Job:
    """A request at an engine."""

    request_id: str
    keys: Sequence[int]
    prompt_tokens: int
    output_tokens: int
    priority: int
    on_first_token: Callable[[Job], None]
    on_finished: Callable[[Job], None]
    cached_blocks: int = 0
    imported_blocks: int = 0


class BlockCache:
    """LRU cache of blocks that evicts the end of a prompt before its beginning."""

    def __init__(self, *, capacity_blocks: int):
        self._capacity_blocks = capacity_blocks
        self._pins_by_key: OrderedDict[int, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pins_by_key)

    def __contains__(self, key: int) -> bool:
        return key in self._pins_by_key

    def keys(self) -> list[int]:
        """Return the keys of all blocks."""
        return list(self._pins_by_key)

    def prefix_blocks(self, keys: Sequence[int]) -> int:
        """Return how many leading blocks are cached."""
        for blocks, key in enumerate(keys):
            if key not in self._pins_by_key:
                return blocks
        return len(keys)

    def pin(self, keys: Sequence[int]) -> None:
        """Protect blocks from eviction."""
        for key in keys:
            self._pins_by_key[key] += 1

    def unpin(self, keys: Sequence[int]) -> None:
        """Undo one `pin` of blocks."""
        for key in keys:
            self._pins_by_key[key] -= 1

    def store(self, keys: Sequence[int]) -> tuple[list[int], list[int]]:
        """Store a prompt's blocks and mark them as recently used.

        Args:
            keys: Keys of all blocks of the prompt.

        Returns:
            The keys that were added and the keys that were evicted to make room.
        """
        stored = [key for key in keys if key not in self._pins_by_key]
        for key in reversed(keys):
            self._pins_by_key.setdefault(key, 0)
            self._pins_by_key.move_to_end(key)
        return stored, self._evict(frozenset(keys))

    def _evict(self, protected: frozenset[int]) -> list[int]:
        excess = len(self._pins_by_key) - self._capacity_blocks
        if excess <= 0:
            return []
        evicted = []
        for key, pins in self._pins_by_key.items():
            if len(evicted) == excess:
                break
            if not pins and key not in protected:
                evicted.append(key)
        for key in evicted:
            del self._pins_by_key[key]
        return evicted


class EngineModel:
    """Engine that runs in virtual time."""

    def __init__(self, *, engine_id: str, spec: EngineSpec, clock: VirtualClock):
        self.engine_id = engine_id
        self.spec = spec
        self.cache = BlockCache(capacity_blocks=spec.capacity_blocks)
        self.events: list[tuple[float, CacheEvent]] = []
        self.prefill_tokens = 0
        self.running = 0
        self._clock = clock
        self._waiting: list[tuple[int, int, Job]] = []
        self._arrivals = 0
        self._prefill_job: Job | None = None
        self._prefill_end_s = 0.0

    def submit(self, job: Job, *, source: EngineModel | None = None) -> None:
        """Queue a request, after importing its prefix if a source is given."""
        if source is None:
            self._enqueue(job)
            return
        cached_blocks = self.cache.prefix_blocks(job.keys)
        source_blocks = source.cache.prefix_blocks(job.keys)
        job.imported_blocks = max(0, source_blocks - cached_blocks)
        delay_s = self.spec.import_cost.transfer_s(job.imported_blocks)
        self._clock.after(delay_s, lambda: self._import(job, source_blocks))

    def cached_blocks(self, keys: Sequence[int]) -> int:
        """Return how many leading blocks are cached now."""
        return self.cache.prefix_blocks(keys)

    def expected_blocks(self, keys: Sequence[int], priority: int) -> int:
        """Return how many leading blocks will be cached when a new job starts."""
        pending = set()
        for job in self.jobs_ahead(priority):
            pending.update(job.keys)
        for blocks, key in enumerate(keys):
            if key not in self.cache and key not in pending:
                return blocks
        return len(keys)

    def jobs_ahead(self, priority: int) -> list[Job]:
        """Return the jobs that run before a new one of a priority."""
        jobs = [
            job for job_priority, _, job in self._waiting if job_priority <= priority
        ]
        if self._prefill_job is not None:
            jobs.append(self._prefill_job)
        return jobs

    def wait_s(self, priority: int) -> float:
        """Return the true queueing time in seconds of a new job of a priority."""
        pending: set[int] = set()
        tokens = 0
        for job_priority, _, job in sorted(self._waiting, key=lambda entry: entry[:2]):
            if job_priority > priority:
                break
            tokens += self._uncached_tokens(job, pending)
            pending.update(job.keys)
        remaining_s = (
            self._prefill_end_s - self._clock.now_s if self._prefill_job else 0.0
        )
        return remaining_s + tokens * self._seconds_per_token()

    def load_report(self) -> LoadReport:
        """Return the current load."""
        tokens = sum(self._uncached_tokens(job, set()) for *_, job in self._waiting)
        if self._prefill_job is not None:
            remaining_s = self._prefill_end_s - self._clock.now_s
            tokens += int(remaining_s / self._seconds_per_token())
        return LoadReport(
            incarnation="1",
            weights_versions_by_model={MODEL: WEIGHTS_VERSION},
            state="ready",
            running=self.running,
            queued=len(self._waiting),
            queued_tokens=tokens,
            prefill_tokens_per_s=1.0 / self._seconds_per_token(),
            decode_tokens_per_s=self.running / self.spec.decode_step_s,
            capacity_blocks=self.spec.capacity_blocks,
            cached_blocks=len(self.cache),
            age_ms=0.0,
        )

    def snapshot(self) -> CacheSnapshot:
        """Return all blocks that are cached now."""
        return CacheSnapshot(
            incarnation="1", next_seq=len(self.events), keys=self.cache.keys()
        )

    def _import(self, job: Job, blocks: int) -> None:
        self._store(job.keys[:blocks])
        self._enqueue(job)

    def _enqueue(self, job: Job) -> None:
        self._arrivals += 1
        heapq.heappush(self._waiting, (job.priority, self._arrivals, job))
        self._start_next()

    def _start_next(self) -> None:
        if (
            self._prefill_job
            or not self._waiting
            or self.running >= self.spec.max_running
        ):
            return
        _, _, job = heapq.heappop(self._waiting)
        job.cached_blocks = self.cache.prefix_blocks(job.keys)
        self.cache.pin(job.keys[: job.cached_blocks])
        tokens = job.prompt_tokens - job.cached_blocks * BLOCK_TOKENS
        self.prefill_tokens += tokens
        duration_s = tokens * self._seconds_per_token()
        self._prefill_job = job
        self._prefill_end_s = self._clock.now_s + duration_s
        self._clock.after(duration_s, lambda: self._finish_prefill(job))

    def _finish_prefill(self, job: Job) -> None:
        self._prefill_job = None
        self._store(job.keys)
        # The blocks that were cache hits have been pinned since the prefill started.
        self.cache.pin(job.keys[job.cached_blocks :])
        self.running += 1
        decode_s = job.output_tokens * self.spec.decode_step_s
        self._clock.after(decode_s, lambda: self._finish(job))
        job.on_first_token(job)
        self._start_next()

    def _finish(self, job: Job) -> None:
        self.running -= 1
        self.cache.unpin(job.keys)
        job.on_finished(job)
        self._start_next()

    def _store(self, keys: Sequence[int]) -> None:
        stored, evicted = self.cache.store(keys)
        self._publish("stored", stored)
        self._publish("evicted", evicted)

    def _publish(self, kind: str, keys: list[int]) -> None:
        if keys:
            event = CacheEvent(seq=len(self.events), kind=kind, keys=keys)
            self.events.append((self._clock.now_s, event))

    def _seconds_per_token(self) -> float:
        slowdown = 1.0 + self.running * self.spec.decode_slowdown
        return slowdown / self.spec.prefill_tokens_per_s

    def _uncached_tokens(self, job: Job, pending: set[int]) -> int:
        blocks = 0
        for key in job.keys:
            if key not in self.cache and key not in pending:
                break
            blocks += 1
        return job.prompt_tokens - blocks * BLOCK_TOKENS
