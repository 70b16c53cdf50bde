"""Admit, route and retry callers' requests."""
