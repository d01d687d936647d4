"""Scripted scenarios: a small scenario language, a runner, histories and their checkers."""
