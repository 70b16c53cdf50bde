"""Decisions on callers' requests."""
