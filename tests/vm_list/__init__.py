"""Tests of the platform's VM list as a peer."""
