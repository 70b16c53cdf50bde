"""Bound what is held for slow readers and writers."""
