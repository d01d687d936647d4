"""Tests for the platform log client and claims."""
