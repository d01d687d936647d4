"""Tests of the exchanges with endpoints."""
