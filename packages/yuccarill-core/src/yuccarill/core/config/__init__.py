"""Inventories: validation, revisions and their storage."""
