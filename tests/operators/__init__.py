"""Tests of the operators' port and tool."""
