"""Tests of `crocuswick.news`."""
