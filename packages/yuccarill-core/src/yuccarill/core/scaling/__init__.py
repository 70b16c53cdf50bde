"""Scale the number of targets of a service with its load."""
