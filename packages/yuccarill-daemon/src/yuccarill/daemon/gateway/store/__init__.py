"""Reach the platform's store, and follow what it holds."""
