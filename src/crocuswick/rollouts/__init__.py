"""Rollouts of model weights to the engines of a fleet."""
