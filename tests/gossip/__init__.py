"""Tests of `crocuswick.gossip`."""
