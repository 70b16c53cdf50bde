"""Serve outside clients and trainers in front of the users' targets."""
