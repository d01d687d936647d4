"""Room of replicas for a request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs

from crocuswick.admission import EngineUse, fits_memory, slot_room
from crocuswick.relay.candidate import Candidate
from crocuswick.relay.prompt_tracker import is_large_prompt
from crocuswick.relay.replica_chooser import engine_priority

if TYPE_CHECKING:
    from crocuswick.admission import PeerEstimate
    from crocuswick.relay.relay_request import RoutedRequest
    from crocuswick.relay.serving import Service

__all__ = ["NO_ROOM", "Room", "engine_room", "is_large_request", "plain_room"]

QUEUE_TARGET_SHARE = 0.5
"""Share of the target latency up to which large prompts queue at an engine. Held back
in the node, they can still go to another engine or behind more urgent ones."""

REJECTIONS_BEFORE_HOLD = 2
"""Rejections after which a small request is held before its next attempt."""


@attrs.frozen(kw_only=True)
class Room:
    """Replicas that have room for a request."""

    candidates: Sequence[Candidate]
    requests: float
    """Requests like it for which there is room."""

    replicas: int
    """Usable replicas of the service, with and without room."""

    is_certain: bool
    """Whether a request may be sent to the candidates now. Otherwise they merely have
    memory for it."""

    is_too_large: bool = False
    """Whether the request exceeds the whole memory of an engine."""


NO_ROOM = Room(candidates=(), requests=0.0, replicas=0, is_certain=False)


def is_large_request(request: RoutedRequest) -> bool:
    """Return whether peers are notified of a request by itself."""
    prompt = request.caller.prompt
    return prompt is not None and is_large_prompt(prompt)


def plain_room(candidates: Sequence[Candidate]) -> Room:
    """Return the room of replicas without engines.

    Nothing is known about the requests of peers there; a full replica rejects a request
    at once.
    """
    return Room(
        candidates=candidates,
        requests=float(len(candidates)),
        replicas=len(candidates),
        is_certain=bool(candidates),
    )


def engine_room(
    request: RoutedRequest,
    service: Service,
    candidates: Sequence[Candidate],
    peers: PeerEstimate,
    *,
    correction: float,
    rejections: int,
) -> Room:
    """Return the engines that have slots and memory for a request.

    Args:
        request: The request.
        service: Its service.
        candidates: Usable engines.
        peers: Estimate of the small requests of peers.
        correction: Share of the slots to add for large requests.
        rejections: Attempts that engines have rejected as full.
    """
    is_large = is_large_request(request)
    needed_tokens = _needed_tokens(request)
    fitting, with_room = [], []
    total = 0.0
    for candidate in candidates:
        use = _engine_use(candidate, service)
        if not fits_memory(use, peers, needed_tokens):
            continue
        fitting.append(candidate)
        free = slot_room(use, peers, is_large=is_large, correction=correction)
        if free >= 1 and not (is_large and _has_long_queue(request, candidate)):
            with_room.append(candidate)
            total += int(free)
    if with_room:
        return Room(
            candidates=with_room,
            requests=total,
            replicas=len(candidates),
            is_certain=True,
        )
    # The estimate may be wrong; an engine that is full rejects a request at once.
    is_tried = not is_large and rejections < REJECTIONS_BEFORE_HOLD
    return Room(
        candidates=fitting,
        requests=1.0 if is_tried and fitting else 0.0,
        replicas=len(candidates),
        is_certain=is_tried and bool(fitting),
        is_too_large=0 < service.engine.kv_capacity_tokens < needed_tokens,
    )


def _needed_tokens(request: RoutedRequest) -> int:
    prompt = request.caller.prompt
    return prompt.prompt_tokens + prompt.max_output_tokens


def _has_long_queue(request: RoutedRequest, candidate: Candidate) -> bool:
    wait_ms = candidate.load.wait_ms(engine_priority(request))
    return wait_ms > QUEUE_TARGET_SHARE * request.route.target_latency_ms


def _engine_use(candidate: Candidate, service: Service) -> EngineUse:
    load = candidate.load
    return EngineUse(
        slots=candidate.replica.slots or service.engine.slots,
        requests=load.requests,
        large_requests=load.large_requests,
        held_tokens=load.kv_tokens,
        capacity_tokens=service.engine.kv_capacity_tokens,
    )
