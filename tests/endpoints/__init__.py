"""Tests of the clients and watchers for endpoints."""
