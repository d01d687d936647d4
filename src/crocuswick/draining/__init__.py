"""Planned stops: what a node still answers, and when it exits."""

from crocuswick.draining.answer_deadline import AnswerDeadline
from crocuswick.draining.answer_times import AnswerTimes, with_margin
from crocuswick.draining.drain_progress import (
    ACCEPT_DURATION_S,
    CLOSE_DURATION_S,
    DrainProgress,
    DrainStep,
)
from crocuswick.draining.open_calls import OpenCalls
from crocuswick.draining.planned_stop import PlannedStop
from crocuswick.draining.refusal import draining_refusal

__all__ = [
    "ACCEPT_DURATION_S",
    "CLOSE_DURATION_S",
    "AnswerDeadline",
    "AnswerTimes",
    "DrainProgress",
    "DrainStep",
    "OpenCalls",
    "PlannedStop",
    "draining_refusal",
    "with_margin",
]
