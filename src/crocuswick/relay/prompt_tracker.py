"""Tracking of the prompts that this node and its peers send to engines."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from crocuswick.gossip.messages import (
    PromptComputed,
    PromptEnded,
    PromptPlaced,
    SmallPromptsSent,
)
from crocuswick.relay.engine_load import EngineLoad
from crocuswick.relay.kv_map import KvMap
from crocuswick.relay.replica_chooser import engine_priority
from crocuswick.relay.small_prompts import SmallPrompts

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.gossip.messages import GossipMessage
    from crocuswick.relay.relay_request import Prompt, RoutedRequest
    from crocuswick.relay.replica_chooser import Choice
    from crocuswick.relay.serving import EngineTraits, KvStore

__all__ = ["PromptTracker", "is_large_prompt"]

MIN_BROADCAST_TOKENS = 2_048
"""Prompt and output tokens from which a prompt is broadcast by itself; smaller ones add
little load to an engine and are broadcast together."""


def is_large_prompt(prompt: Prompt) -> bool:
    """Return whether peers are notified of a prompt by itself."""
    return prompt.prompt_tokens + prompt.max_output_tokens >= MIN_BROADCAST_TOKENS


class PromptTracker:
    """Tracks the load and the modelled cache of each engine.

    Args:
        broadcast: Called with each message to broadcast to the peers.
    """

    def __init__(self, *, broadcast: Callable[[GossipMessage], None]):
        self._broadcast = broadcast
        self.kv_map = KvMap()
        self._loads_by_incarnation: dict[str, EngineLoad] = defaultdict(EngineLoad)
        self._broadcast_request_ids: set[str] = set()
        self._small_prompts = SmallPrompts()

    def load(self, incarnation: str) -> EngineLoad:
        """Return the outstanding work of a replica."""
        return self._loads_by_incarnation[incarnation]

    def discard(self, incarnation: str) -> None:
        """Discard the state of a replica that has ended."""
        self._loads_by_incarnation.pop(incarnation, None)
        self.kv_map.discard(incarnation)

    def record_placed(
        self,
        request: RoutedRequest,
        choice: Choice,
        engine: EngineTraits | None,
        store: KvStore | None,
        now_s: float,
    ) -> bool:
        """Record a request that this node sends.

        Args:
            request: The request.
            choice: The chosen replica and source of segments.
            engine: Traits of the engines, None for a service without engines.
            store: The KV-cache store, None if there is none.
            now_s: Monotonic time.

        Returns:
            Whether the engine is to save the prompt's segments to the store.
        """
        prompt = request.caller.prompt
        incarnation = choice.candidate.replica.incarnation
        kv_tokens = prompt.prompt_tokens + prompt.max_output_tokens if prompt else 0
        self.load(incarnation).record_sent(
            request.caller.request_id,
            prefill_tokens=choice.prefill_tokens,
            kv_tokens=kv_tokens,
            priority=engine_priority(request),
            now_s=now_s,
            is_large=prompt is not None and is_large_prompt(prompt),
        )
        if prompt is None or engine is None:
            return False
        self.kv_map.engine_cache(incarnation, engine.kv_capacity_tokens)
        if not is_large_prompt(prompt):
            self._record_small(prompt, choice, kv_tokens)
            return False
        return self._record_large(request, prompt, choice, kv_tokens, store)

    def record_prompt_computed(
        self, request_id: str, incarnation: str, now_s: float
    ) -> None:
        """Record that a prompt of this node or of a peer has been computed."""
        load = self._loads_by_incarnation.get(incarnation)
        if load is None:
            return
        load.record_first_event(request_id, now_s)
        self.kv_map.record_prompt_computed(request_id, incarnation)
        if request_id in self._broadcast_request_ids:
            self._broadcast(
                PromptComputed(request_id=request_id, incarnation=incarnation)
            )

    def record_ended(self, request_id: str, incarnation: str) -> None:
        """Record that a request of this node has ended."""
        self.record_peer_ended(request_id, incarnation)
        if request_id in self._broadcast_request_ids:
            self._broadcast_request_ids.discard(request_id)
            self._broadcast(PromptEnded(request_id=request_id, incarnation=incarnation))

    def record_peer_placed(
        self, placed: PromptPlaced, engine: EngineTraits | None, now_s: float
    ) -> None:
        """Record a large prompt that a peer sends."""
        self.load(placed.incarnation).record_sent(
            placed.request_id,
            prefill_tokens=placed.prefill_tokens,
            kv_tokens=placed.kv_tokens,
            priority=placed.priority,
            now_s=now_s,
            is_large=True,
        )
        if engine is not None:
            self.kv_map.engine_cache(placed.incarnation, engine.kv_capacity_tokens)
            self._record_prompt(placed)

    def record_peer_small_prompts(
        self, sent: SmallPromptsSent, engine: EngineTraits | None
    ) -> None:
        """Record small prompts that a peer has sent."""
        if engine is not None:
            self.kv_map.engine_cache(sent.incarnation, engine.kv_capacity_tokens)
            self._record_segments(sent)

    def record_peer_ended(self, request_id: str, incarnation: str) -> None:
        """Record that a request of a peer has ended."""
        load = self._loads_by_incarnation.get(incarnation)
        if load is not None:
            load.record_ended(request_id)
        self.kv_map.record_prompt_ended(request_id, incarnation)

    def broadcast_small_prompts(self) -> None:
        """Broadcast the small prompts since the last broadcast."""
        for sent in self._small_prompts.take():
            self._broadcast(sent)

    def _record_small(self, prompt: Prompt, choice: Choice, kv_tokens: int) -> None:
        tokens_by_segment = _shared_tokens_by_segment(prompt, choice)
        sent = SmallPromptsSent(
            incarnation=choice.candidate.replica.incarnation,
            salt=choice.salt,
            tokens_by_part=tokens_by_segment,
            other_tokens=kv_tokens - sum(tokens_by_segment.values()),
        )
        self._record_segments(sent)
        self._small_prompts.add(sent)

    def _record_large(
        self,
        request: RoutedRequest,
        prompt: Prompt,
        choice: Choice,
        kv_tokens: int,
        store: KvStore | None,
    ) -> bool:
        segment_id = prompt.shared_segment_id
        is_saved = (
            store is not None
            and choice.is_shareable
            and bool(segment_id)
            and not self.kv_map.is_stored(choice.salt, segment_id)
            and not self.kv_map.is_being_saved(choice.salt, segment_id)
        )
        placed = PromptPlaced(
            request_id=request.caller.request_id,
            incarnation=choice.candidate.replica.incarnation,
            prefill_tokens=choice.prefill_tokens,
            kv_tokens=kv_tokens,
            priority=engine_priority(request),
            salt=choice.salt,
            tokens_by_part=_shared_tokens_by_segment(prompt, choice),
            is_saved=is_saved,
        )
        self._record_prompt(placed)
        self._broadcast_request_ids.add(placed.request_id)
        self._broadcast(placed)
        return is_saved

    def _record_prompt(self, placed: PromptPlaced) -> None:
        self.kv_map.record_prompt_sent(
            placed.request_id,
            placed.incarnation,
            placed.salt,
            placed.tokens_by_part,
            other_tokens=placed.kv_tokens - sum(placed.tokens_by_part.values()),
            is_saved=placed.is_saved,
        )

    def _record_segments(self, sent: SmallPromptsSent) -> None:
        # A small prompt counts as computed at once: it takes some tens of milliseconds.
        cache = self.kv_map.engine_cache(sent.incarnation, 0)
        cache.add_prompt(sent.salt, sent.tokens_by_part, sent.other_tokens)


def _shared_tokens_by_segment(prompt: Prompt, choice: Choice) -> dict[str, int]:
    """Return the tokens of the segments that other requests can use."""
    if not choice.is_shareable:
        return {}
    return {segment.id: segment.tokens for segment in prompt.shared_segments}
