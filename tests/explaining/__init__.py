"""Tests of explanations of requests from logs."""
