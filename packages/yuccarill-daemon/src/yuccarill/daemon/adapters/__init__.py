"""Adapters to the systems around an instance."""
