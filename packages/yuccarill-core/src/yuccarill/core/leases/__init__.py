"""Leases: one holder per shard of duties, fenced by an epoch."""
