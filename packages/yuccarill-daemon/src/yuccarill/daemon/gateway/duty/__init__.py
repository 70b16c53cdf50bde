"""Hold store leases for instance registration and for duties."""
