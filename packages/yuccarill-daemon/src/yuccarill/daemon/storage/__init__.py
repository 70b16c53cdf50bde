"""Storage of finished samples on this instance's disk."""
