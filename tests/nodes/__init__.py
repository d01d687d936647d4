"""Tests of the exchange between nodes."""
