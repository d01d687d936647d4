"""Seeded request traces with nested, skewed and shifting prefixes."""

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
    """Seed of all randomness."""

    duration_s: float = 240.0
    """Length of the trace."""

    requests_per_s: float = 24.0
    """Mean of the Poisson arrivals."""

    organisations: int = 8
    """Organisations, the largest first."""

    assistants: int = 4
    """Assistants of each organisation."""

    documents: int = 24
    """Documents of each assistant."""

    skew: float = 1.1
    """Exponent of the Zipf distributions."""

    shift_interval_s: float = 20.0
    """Interval at which documents change in popularity."""

    burst_share: float = 0.15
    """Share of the traffic that one hot document gets at a time."""

    batch_share: float = 0.2
    """Share of batch requests, which have the longest documents."""


@attrs.frozen(kw_only=True)
class TraceRequest:
    """One request of a trace."""

    number: int
    """Position in the trace."""

    at_s: float
    """Arrival time."""

    keys: tuple[int, ...]
    """Keys of its whole blocks."""

    prompt_tokens: int
    """Tokens in its prompt."""

    output_tokens: int
    """Tokens in its answer."""

    priority: int
    """0 (first) to 9."""


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
        """Return a rank from 0 on."""
        return bisect.bisect(self._cumulative, random.random() * self._cumulative[-1])


class _TraceBuilder:
    def __init__(self, *, spec: TraceSpec):
        self._spec = spec
        self._random = Random(spec.seed)
        self._organisation = _Zipf(count=spec.organisations, skew=spec.skew)
        self._assistant = _Zipf(count=spec.assistants, skew=spec.skew)
        self._document = _Zipf(count=spec.documents, skew=spec.skew)
        self._keys_by_prefix: dict[tuple[int, ...], tuple[int, ...]] = {}

    def build(self) -> Trace:
        """Return all requests."""
        trace = []
        at_s = self._random.expovariate(self._spec.requests_per_s)
        while at_s < self._spec.duration_s:
            trace.append(self._request(len(trace), at_s))
            at_s += self._random.expovariate(self._spec.requests_per_s)
        return trace

    def _request(self, number: int, at_s: float) -> TraceRequest:
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
        organisation = self._organisation.draw(random)
        assistant = self._assistant.draw(random)
        # Ranks move on by three documents in each epoch: the hottest are new.
        document = self._document.draw(random) - 3 * epoch
        return (organisation, assistant, document)

    def _burst_prefix(self, epoch: int) -> tuple[int, ...]:
        chosen = Random(f"{self._spec.seed}/{epoch}")
        organisation = self._organisation.draw(chosen)
        assistant = self._assistant.draw(chosen)
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
        lengths = Random(f"{self._spec.seed}/{name}")
        if len(prefix) == 1:
            blocks = 2
        elif len(prefix) == 2:
            blocks = lengths.randint(3, 10)
        else:
            blocks = min(40, max(2, int(lengths.lognormvariate(2.2, 0.7))))
        return tuple(
            stable_hash(f"{self._spec.seed}/{name}#{block}") for block in range(blocks)
        )
