"""Tests of `crocuswick.relay`."""
