"""Dependencies of relayed requests."""

from __future__ import annotations

import attrs
import pykka

from crocuswick.byte_budget import ByteBudget
from crocuswick.decision_log import DecisionLog
from crocuswick.draining import AnswerDeadline, AnswerTimes
from crocuswick.fleet_metrics import FleetMetrics
from crocuswick.quota.quota_gate import QuotaGate
from crocuswick.relay.dialect import Dialect
from crocuswick.relay.stall_watch import StallWatch
from crocuswick.relay.stream_starts import StreamStarts

__all__ = ["RelayContext"]


@attrs.frozen(kw_only=True)
class RelayContext:
    """Dependencies that all relayed requests of a node share."""

    dispatcher: pykka.ActorRef
    dialect: Dialect
    stalls: StallWatch
    answer_deadline: AnswerDeadline
    answer_times: AnswerTimes
    byte_budget: ByteBudget
    log: DecisionLog
    metrics: FleetMetrics
    quotas: QuotaGate
    stream_starts: StreamStarts = attrs.Factory(StreamStarts)
