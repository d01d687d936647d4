"""Compression of topic records on the way to other nodes.

A configuration of many routes has several hundred kilobytes, which take a small VM's
link the better part of a second. Its routes are alike, so they compress well.
"""

from __future__ import annotations

import zlib

import msgpack
from result import Err, Ok, Result

from crocuswick.errors import PeerError
from crocuswick.gossip.messages import CompressedRecords, TopicRecords

__all__ = ["compress_records", "decompress_records"]

MIN_COMPRESSED_BYTES = 4_096
"""Size of the records' contents from which they are compressed."""

COMPRESSION_LEVEL = 1
"""The fastest level of zlib."""

MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
"""Limit on decompressed records, as for messages."""


def compress_records(records: TopicRecords) -> TopicRecords | CompressedRecords:
    """Return the records as they are sent: compressed if they are large."""
    content_bytes = sum(len(value or b"") for _, _, value in records.records)
    if content_bytes < MIN_COMPRESSED_BYTES:
        return records
    return CompressedRecords(
        topic=records.topic,
        start=records.start,
        end=records.end,
        data=zlib.compress(msgpack.packb(records.records), COMPRESSION_LEVEL),
    )


def decompress_records(
    compressed: CompressedRecords, peer: str
) -> Result[TopicRecords, PeerError]:
    """Decompress records.

    Args:
        compressed: The message.
        peer: Sender, for errors.

    Returns:
        The records, or an error if they are malformed or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(compressed.data, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            return Err(_error(peer, "the records are truncated or too large"))
        records = [
            [str(key), int(offset), value]
            for key, offset, value in msgpack.unpackb(packed)
        ]
    except (zlib.error, msgpack.exceptions.UnpackException, TypeError, ValueError) as e:
        return Err(_error(peer, f"{type(e).__name__}: {e}"))
    return Ok(
        TopicRecords(
            topic=compressed.topic,
            start=compressed.start,
            end=compressed.end,
            records=records,
        )
    )


def _error(peer: str, detail: str) -> PeerError:
    return PeerError(step="decompress records", peer=peer, detail=detail)
