"""Tests of `crocuswick.records`."""
