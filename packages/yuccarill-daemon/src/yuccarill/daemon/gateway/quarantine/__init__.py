"""Quarantine requests that crash their targets."""
