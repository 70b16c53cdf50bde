"""Divide a service's capacity among instances and client accounts."""
