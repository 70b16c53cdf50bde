"""Decisions on trainers' steps and their samples."""
