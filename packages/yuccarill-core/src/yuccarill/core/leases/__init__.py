"""Leases that give each duty one holder, fenced by an epoch."""
