"""Admission control under load: decisions without a network or a clock."""

from crocuswick.admission.decision import (
    Hold,
    Refuse,
    Send,
    Verdict,
    Waiting,
    decide,
    repeat_after_s,
)
from crocuswick.admission.engine_room import (
    EngineUse,
    PeerEstimate,
    fits_memory,
    slot_room,
)
from crocuswick.admission.held_requests import HeldRequest, HeldRequests
from crocuswick.admission.organisation_use import OrganisationUse
from crocuswick.admission.rate_meter import RateMeter
from crocuswick.admission.reserve_control import ReserveControl
from crocuswick.admission.room_share import contenders, may_claim
from crocuswick.admission.small_demand import SmallDemand

__all__ = [
    "EngineUse",
    "HeldRequest",
    "HeldRequests",
    "Hold",
    "OrganisationUse",
    "PeerEstimate",
    "RateMeter",
    "Refuse",
    "ReserveControl",
    "Send",
    "SmallDemand",
    "Verdict",
    "Waiting",
    "contenders",
    "decide",
    "fits_memory",
    "may_claim",
    "repeat_after_s",
    "slot_room",
]
