"""Tests of crocuswick; the layout mirrors ``src/crocuswick``."""
