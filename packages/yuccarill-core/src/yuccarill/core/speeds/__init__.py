"""Estimate the processing speed of targets."""
