"""The commands, one per module."""
