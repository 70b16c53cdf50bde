"""Limit the time and memory spent on slow readers and writers."""
