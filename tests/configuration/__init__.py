"""Tests for the operators' configuration."""
