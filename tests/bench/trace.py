"""Seeded request traces with nested prefixes of skewed, shifting popularity."""

from __future__ import annotations

import bisect
import itertools
from random import Random
from typing import TYPE_CHECKING

import attrs

from crocuswick.block_key import BLOCK_TOKENS
from crocuswick.rendezvous import stable_hash

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["Trace", "TraceRequest", "TraceSpec", "create_trace"]

INTERACTIVE_PRIORITY = 0
BATCH_PRIORITY = 5


@attrs.frozen(kw_only=True)
class TraceSpec:
    """Parameters of a trace."""

    seed: int
    """Seed of all random choices."""

    duration_s: float = 240.0
    """Duration of the trace in seconds."""

    requests_per_s: float = 24.0
    """Mean rate of the Poisson arrivals."""

    organisations: int = 8
    """Number of organisations; the first one sends the most requests."""

    assistants: int = 4
    """Number of assistants per organisation."""

    documents: int = 24
    """Number of documents per assistant."""

    skew: float = 1.1
    """Exponent of the Zipf distributions."""

    shift_interval_s: float = 20.0
    """Interval in seconds at which the popularity of documents shifts."""

    burst_share: float = 0.15
    """Share of interactive requests that go to one hot document at a time."""

    batch_share: float = 0.2
    """Share of batch requests, which have the longest answers."""


@attrs.frozen(kw_only=True)
class TraceRequest:
    """One request of a trace."""

    number: int
    """Position in the trace."""

    at_s: float
    """Arrival time in seconds since the start of the trace."""

    keys: tuple[int, ...]
    """Keys of the prompt's whole blocks."""

    prompt_tokens: int
    """Number of prompt tokens."""

    output_tokens: int
    """Number of answer tokens."""

    priority: int
    """Priority from 0 (highest) to 9 (lowest)."""


Trace = list[TraceRequest]


def create_trace(spec: TraceSpec) -> Trace:
    """Return the requests of a trace in order of arrival."""
    return _TraceBuilder(spec=spec).build()


class _Zipf:
    """Draws ranks with Zipf-distributed probability."""

    def __init__(self, *, count: int, skew: float):
        weights = [1.0 / (rank + 1) ** skew for rank in range(count)]
        self._cumulative = list(itertools.accumulate(weights))

    def draw(self, random: Random) -> int:
        """Return a rank, counted from 0."""
        return bisect.bisect(self._cumulative, random.random() * self._cumulative[-1])


class _TraceBuilder:
    def __init__(self, *, spec: TraceSpec):
        self._spec = spec
        self._random = Random(spec.seed)
        self._organisation_ranks = _Zipf(count=spec.organisations, skew=spec.skew)
        self._assistant_ranks = _Zipf(count=spec.assistants, skew=spec.skew)
        self._document_ranks = _Zipf(count=spec.documents, skew=spec.skew)
        self._keys_by_prefix: dict[tuple[int, ...], tuple[int, ...]] = {}

    def build(self) -> Trace:
        """Return all requests."""
        trace = []
        at_s = self._random.expovariate(self._spec.requests_per_s)
        while at_s < self._spec.duration_s:
            trace.append(self._create_request(len(trace), at_s))
            at_s += self._random.expovariate(self._spec.requests_per_s)
        return trace

    def _create_request(self, number: int, at_s: float) -> TraceRequest:
        random = self._random
        is_batch = random.random() < self._spec.batch_share
        keys = self._prefix_keys(self._draw_prefix(at_s, is_batch))
        tail_tokens = random.randint(50, BLOCK_TOKENS - 1)
        return TraceRequest(
            number=number,
            at_s=at_s,
            keys=keys,
            prompt_tokens=len(keys) * BLOCK_TOKENS + tail_tokens,
            output_tokens=random.randint(200, 400)
            if is_batch
            else random.randint(20, 120),
            priority=BATCH_PRIORITY if is_batch else INTERACTIVE_PRIORITY,
        )

    def _draw_prefix(self, at_s: float, is_batch: bool) -> tuple[int, ...]:
        random = self._random
        epoch = int(at_s / self._spec.shift_interval_s)
        if not is_batch and random.random() < self._spec.burst_share:
            return self._burst_prefix(epoch)
        organisation = self._organisation_ranks.draw(random)
        assistant = self._assistant_ranks.draw(random)
        # Each epoch shifts the ranks by three, so the three hottest documents are new.
        document = self._document_ranks.draw(random) - 3 * epoch
        return (organisation, assistant, document)

    def _burst_prefix(self, epoch: int) -> tuple[int, ...]:
        epoch_random = Random(f"{self._spec.seed}/{epoch}")
        organisation = self._organisation_ranks.draw(epoch_random)
        assistant = self._assistant_ranks.draw(epoch_random)
        # Other requests have document numbers below 1000, so each burst has its own.
        return (organisation, assistant, 1000 + epoch)

    def _prefix_keys(self, prefix: tuple[int, ...]) -> tuple[int, ...]:
        keys = self._keys_by_prefix.get(prefix)
        if keys is None:
            keys = self._own_keys(prefix)
            if len(prefix) > 1:
                keys = self._prefix_keys(prefix[:-1]) + keys
            self._keys_by_prefix[prefix] = keys
        return keys

    def _own_keys(self, prefix: Sequence[int]) -> tuple[int, ...]:
        name = "/".join(str(number) for number in prefix)
        length_random = Random(f"{self._spec.seed}/{name}")
        if len(prefix) == 1:
            blocks = 2
        elif len(prefix) == 2:
            blocks = length_random.randint(3, 10)
        else:
            blocks = min(40, max(2, int(length_random.lognormvariate(2.2, 0.7))))
        return tuple(
            stable_hash(f"{self._spec.seed}/{name}#{block}") for block in range(blocks)
        )
