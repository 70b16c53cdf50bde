"""Rollout of new weight versions to all engines of a model."""
