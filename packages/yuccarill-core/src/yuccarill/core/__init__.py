"""Coordination parts for a rollout service."""
