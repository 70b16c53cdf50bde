"""Decide how requests of outside clients reach targets."""
