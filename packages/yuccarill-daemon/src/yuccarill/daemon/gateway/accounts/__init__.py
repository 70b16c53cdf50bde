"""Authenticate requests by the keys of client accounts."""
