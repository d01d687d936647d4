"""Scripted scenarios: a small language, a runner, histories and their checkers."""
