"""Decide how many targets of a service there are to be."""
