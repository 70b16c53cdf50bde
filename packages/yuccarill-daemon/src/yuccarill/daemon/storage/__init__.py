"""Finished samples on the disk of this instance."""
