"""Decisions on bringing new weight versions to all engines of a model."""
