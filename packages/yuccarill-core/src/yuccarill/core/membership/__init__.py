"""Membership: the instances, their states and the choice among them."""
