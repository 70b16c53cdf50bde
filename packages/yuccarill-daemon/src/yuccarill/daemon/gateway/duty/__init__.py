"""Hold leases: which instances live, and who holds a duty."""
