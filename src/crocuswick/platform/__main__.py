"""Entry point: ``python3 -m crocuswick.platform``."""

from __future__ import annotations

import sys

from crocuswick.platform.main import run_fleet_node

if __name__ == "__main__":
    sys.exit(run_fleet_node())
