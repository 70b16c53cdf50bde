"""Clients and servers for the systems that an instance talks to."""
