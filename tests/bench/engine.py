"""Model of an engine: one prefill at a time, decoding beside it, a small cache."""

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
    """Speed and size of an engine."""

    capacity_blocks: int = 240
    """Blocks in the cache."""

    prefill_tokens_per_s: float = 20_000.0
    """Prompt tokens computed in a second when nothing is decoded."""

    decode_step_s: float = 0.025
    """Time between two tokens of an answer."""

    decode_slowdown: float = 0.01
    """Part by which each running request slows the prefill down."""

    max_running: int = 48
    """Requests that decode at a time."""

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
    """Least-recently-used cache of blocks, in which a prompt's end goes first."""

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
        """Return how many leading blocks are held."""
        for blocks, key in enumerate(keys):
            if key not in self._pins_by_key:
                return blocks
        return len(keys)

    def pin(self, keys: Sequence[int]) -> None:
        """Keep blocks from being evicted."""
        for key in keys:
            self._pins_by_key[key] += 1

    def unpin(self, keys: Sequence[int]) -> None:
        """Let blocks be evicted again."""
        for key in keys:
            self._pins_by_key[key] -= 1

    def store(self, keys: Sequence[int]) -> tuple[list[int], list[int]]:
        """Store and touch a prompt's blocks.

        Args:
            keys: Keys of all its blocks.

        Returns:
            The keys that are new and the keys that were evicted for them.
        """
        stored = [key for key in keys if key not in self._pins_by_key]
        for key in reversed(keys):
            self._pins_by_key.setdefault(key, 0)
            self._pins_by_key.move_to_end(key)
        return stored, self._evict(frozenset(keys))

    def _evict(self, kept: frozenset[int]) -> list[int]:
        excess = len(self._pins_by_key) - self._capacity_blocks
        if excess <= 0:
            return []
        evicted = []
        for key, pins in self._pins_by_key.items():
            if len(evicted) == excess:
                break
            if not pins and key not in kept:
                evicted.append(key)
        for key in evicted:
            del self._pins_by_key[key]
        return evicted


class EngineModel:
    """An engine in virtual time."""

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
        self._current: Job | None = None
        self._current_ends_s = 0.0

    def submit(self, job: Job, *, source: EngineModel | None = None) -> None:
        """Take a request, after importing its prefix from another engine."""
        if source is None:
            self._enqueue(job)
            return
        held = self.cache.prefix_blocks(job.keys)
        found = source.cache.prefix_blocks(job.keys)
        job.imported_blocks = max(0, found - held)
        delay_s = self.spec.import_cost.transfer_s(job.imported_blocks)
        self._clock.after(delay_s, lambda: self._import(job, found))

    def cached_blocks(self, keys: Sequence[int]) -> int:
        """Return how many leading blocks are held now."""
        return self.cache.prefix_blocks(keys)

    def expected_blocks(self, keys: Sequence[int], priority: int) -> int:
        """Return how many leading blocks will be held when a new job's turn comes."""
        pending = set()
        for job in self.jobs_ahead(priority):
            pending.update(job.keys)
        for blocks, key in enumerate(keys):
            if key not in self.cache and key not in pending:
                return blocks
        return len(keys)

    def jobs_ahead(self, priority: int) -> list[Job]:
        """Return the jobs that come before a new one of a priority."""
        jobs = [job for rank, _, job in self._waiting if rank <= priority]
        if self._current is not None:
            jobs.append(self._current)
        return jobs

    def wait_s(self, priority: int) -> float:
        """Return the true wait of a new job of a priority."""
        seen: set[int] = set()
        tokens = 0
        for rank, _, job in sorted(self._waiting, key=lambda entry: entry[:2]):
            if rank > priority:
                break
            tokens += self._uncached_tokens(job, seen)
            seen.update(job.keys)
        remaining_s = self._current_ends_s - self._clock.now_s if self._current else 0.0
        return remaining_s + tokens * self._seconds_per_token()

    def load_report(self) -> LoadReport:
        """Return the load at this moment."""
        tokens = sum(self._uncached_tokens(job, set()) for *_, job in self._waiting)
        if self._current is not None:
            remaining_s = self._current_ends_s - self._clock.now_s
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
        """Return all blocks that are held now."""
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
        if self._current or not self._waiting or self.running >= self.spec.max_running:
            return
        _, _, job = heapq.heappop(self._waiting)
        job.cached_blocks = self.cache.prefix_blocks(job.keys)
        self.cache.pin(job.keys[: job.cached_blocks])
        tokens = job.prompt_tokens - job.cached_blocks * BLOCK_TOKENS
        self.prefill_tokens += tokens
        duration_s = tokens * self._seconds_per_token()
        self._current = job
        self._current_ends_s = self._clock.now_s + duration_s
        self._clock.after(duration_s, lambda: self._finish_prefill(job))

    def _finish_prefill(self, job: Job) -> None:
        self._current = None
        self._store(job.keys)
        # The blocks found in the cache are pinned since the start of the prefill.
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

    def _uncached_tokens(self, job: Job, seen: set[int]) -> int:
        blocks = 0
        for key in job.keys:
            if key not in self.cache and key not in seen:
                break
            blocks += 1
        return job.prompt_tokens - blocks * BLOCK_TOKENS
