"""Tests of the operators' configuration."""
