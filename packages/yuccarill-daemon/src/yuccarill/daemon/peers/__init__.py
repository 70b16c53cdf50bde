"""Streams between instances."""
