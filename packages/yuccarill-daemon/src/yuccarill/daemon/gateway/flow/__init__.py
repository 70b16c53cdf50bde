"""Enforce the memory budget of client connections."""
