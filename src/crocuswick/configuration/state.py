"""The configuration state after applying the stream up to an offset."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
import cattrs
import msgpack
from result import Err, Ok, Result

from crocuswick.configuration.checks import check_objects
from crocuswick.configuration.model import EMPTY_CONFIGURATION, Configuration
from crocuswick.configuration.objects import to_record
from crocuswick.configuration.verdict import Verdict
from crocuswick.platform_log.records import LogRecord

__all__ = [
    "EMPTY_STATE",
    "MAX_KEPT_VERDICTS",
    "ConfigurationState",
    "decode_state",
    "encode_state",
    "state_from_record",
    "state_to_record",
]

MAX_KEPT_VERDICTS = 256
"""Number of verdicts kept, so that a repeated submission gets its first verdict."""


@attrs.frozen(kw_only=True)
class ConfigurationState:
    """The configuration and the data needed to apply further records."""

    configuration: Configuration = EMPTY_CONFIGURATION
    """The current revision."""

    next_offset: int = 0
    """Offset of the first record not yet applied."""

    made_by: str = ""
    """Id of the submission that created the current revision."""

    made_by_author: str = ""
    """Author of that submission, or an empty string if it gave none."""

    verdicts_by_submission_id: Mapping[str, Verdict] = attrs.Factory(dict)
    """The last `MAX_KEPT_VERDICTS` verdicts, oldest first."""

    is_complete: bool = True
    """Whether the effect of every record before `next_offset` is included.

    After a gap in the stream, a node serves the configuration that it has, but
    evaluates no submission until a snapshot closes the gap.
    """

    resumed_at: int = 0
    """Offset of the first record read after a gap."""

    pending: tuple[LogRecord, ...] = ()
    """Records read since the gap, to be applied once a snapshot closes it."""

    recovery_ends_ms: int = 0
    """Log time until which a later recovery snapshot may replace this state.

    Submissions get no verdict before then.
    """


EMPTY_STATE = ConfigurationState()
"""The state before the first record of a stream."""


def state_to_record(state: ConfigurationState) -> dict[str, Any]:
    """Return the plain form of a state, for snapshots."""
    return {
        "revision": state.configuration.revision,
        "next_offset": state.next_offset,
        "made_by": state.made_by,
        "made_by_author": state.made_by_author,
        "recovery_ends_ms": state.recovery_ends_ms,
        "verdicts": [
            cattrs.unstructure(verdict)
            for verdict in state.verdicts_by_submission_id.values()
        ],
        "objects": [to_record(item) for item in state.configuration.objects()],
    }


def state_from_record(record: Any) -> Result[ConfigurationState, str]:
    """Decode a snapshot.

    Args:
        record: Value returned by `state_to_record`.

    Returns:
        The state, or the reason why the snapshot is invalid.
    """
    try:
        checked = check_objects(record["objects"])
        verdicts = cattrs.structure(record["verdicts"], list[Verdict])
        if checked.is_err():
            return Err(f"the snapshot's objects have faults: {checked.unwrap_err()[0]}")
        configuration = Configuration.from_objects(
            revision=int(record["revision"]), objects=checked.unwrap()
        )
        return Ok(
            ConfigurationState(
                configuration=configuration,
                next_offset=int(record["next_offset"]),
                made_by=str(record["made_by"]),
                made_by_author=str(record["made_by_author"]),
                recovery_ends_ms=int(record["recovery_ends_ms"]),
                verdicts_by_submission_id={
                    verdict.submission_id: verdict for verdict in verdicts
                },
            )
        )
    except (KeyError, TypeError, ValueError, cattrs.BaseValidationError) as error:
        return Err(f"the snapshot is malformed: {error!r}")


def encode_state(state: ConfigurationState) -> bytes:
    """Encode a state for other nodes."""
    return msgpack.packb(state_to_record(state))


def decode_state(data: bytes) -> Result[ConfigurationState, str]:
    """Decode a state encoded by another node.

    Args:
        data: Bytes returned by `encode_state`.

    Returns:
        The state, or the reason why the bytes are invalid.
    """
    try:
        record = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        return Err(f"the snapshot is not msgpack: {error!r}")
    return state_from_record(record)
