"""Tests of `crocuswick.rollouts`."""
