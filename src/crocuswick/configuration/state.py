"""What a node knows after folding the configuration stream up to an offset."""

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
    "VERDICTS_KEPT",
    "ConfigurationState",
    "decode_state",
    "encode_state",
    "state_from_record",
    "state_to_record",
]

VERDICTS_KEPT = 256
"""Verdicts that nodes remember, so that a repeated submission gets its own."""


@attrs.frozen(kw_only=True)
class ConfigurationState:
    """The configuration together with what the fold needs to go on."""

    configuration: Configuration = EMPTY_CONFIGURATION
    """The revision in force."""

    next_offset: int = 0
    """Offset of the first record not folded yet."""

    made_by: str = ""
    """Id of the submission that made the revision in force."""

    made_by_author: str = ""
    """Who submitted it, as far as the submission said."""

    verdicts_by_submission_id: Mapping[str, Verdict] = attrs.Factory(dict)
    """The last `VERDICTS_KEPT` verdicts, oldest first."""

    is_complete: bool = True
    """Whether every record before `next_offset` is accounted for.

    A node that reads the stream after its first records were dropped serves what
    it has, but judges no submission until a snapshot closes the gap.
    """

    resumed_at: int = 0
    """Offset from which on all records were read, after a gap."""

    pending: tuple[LogRecord, ...] = ()
    """Records read since the gap, to be judged once a snapshot closes it."""

    recovery_ends_ms: int = 0
    """Log time until which recovery snapshots compete and submissions wait."""


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
    """Read a snapshot.

    Args:
        record: Value made by `state_to_record`.

    Returns:
        The state, or why the snapshot is not sound.
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
    """Return a state as bytes for other nodes."""
    return msgpack.packb(state_to_record(state))


def decode_state(data: bytes) -> Result[ConfigurationState, str]:
    """Read a state that another node encoded.

    Args:
        data: Bytes made by `encode_state`.

    Returns:
        The state, or why the bytes are not a sound one.
    """
    try:
        record = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        return Err(f"the snapshot is not msgpack: {error!r}")
    return state_from_record(record)
