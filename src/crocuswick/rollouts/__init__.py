"""Rollouts of named weights to the engines of a fleet."""
