"""Typed messages and their codecs."""
