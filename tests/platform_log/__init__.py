"""Tests of the platform log as a peer."""
