"""Cost of importing cached blocks from another endpoint instead of computing them."""

from __future__ import annotations

import attrs

from crocuswick.block_key import BLOCK_TOKENS

__all__ = ["ImportCost"]


@attrs.frozen(kw_only=True)
class ImportCost:
    """Model of the time to import cached blocks."""

    setup_s: float = 0.010
    """Time for the import command and for the request for the blocks."""

    seconds_per_block: float = 0.012
    """Transfer time of one block."""

    def transfer_s(self, blocks: int) -> float:
        """Return the time to import a number of blocks."""
        if blocks <= 0:
            return 0.0
        return self.setup_s + blocks * self.seconds_per_block

    def saving_s(self, blocks: int, *, seconds_per_token: float) -> float:
        """Return the time that an import saves, negative if it costs more.

        Args:
            blocks: Number of blocks to import.
            seconds_per_token: Time for the importing endpoint to compute one prompt
                token.
        """
        prefill_s = blocks * BLOCK_TOKENS * seconds_per_token
        return prefill_s - self.transfer_s(blocks)
