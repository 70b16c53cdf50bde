"""Carry out what is decided of bytes that are held."""
