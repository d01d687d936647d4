"""Reception of requests from untrusted callers without a thread for each."""

from crocuswick.intake.body_framing import (
    BodyFraming,
    ChunkedBody,
    LengthBody,
    body_framing,
)
from crocuswick.intake.head_scan import HeadScan
from crocuswick.intake.open_connections import (
    OpenConnection,
    OpenConnections,
    choose_closing,
    max_connections,
)
from crocuswick.intake.progress import Phase, Progress, TimeLimits
from crocuswick.intake.received_bytes import MoreInputNeeded, ReceivedBytes
from crocuswick.intake.waiting_requests import WaitingRequests
from crocuswick.intake.yielding import HeldRequest, choose_yielding

__all__ = [
    "BodyFraming",
    "ChunkedBody",
    "HeadScan",
    "HeldRequest",
    "LengthBody",
    "MoreInputNeeded",
    "OpenConnection",
    "OpenConnections",
    "Phase",
    "Progress",
    "ReceivedBytes",
    "TimeLimits",
    "WaitingRequests",
    "body_framing",
    "choose_closing",
    "choose_yielding",
    "max_connections",
]
