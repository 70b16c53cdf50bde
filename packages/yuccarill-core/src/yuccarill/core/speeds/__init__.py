"""Estimate how fast targets work."""
