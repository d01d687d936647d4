"""Tests of `crocuswick.platform`."""
