"""Decide how batch jobs of generations are run and listed."""
