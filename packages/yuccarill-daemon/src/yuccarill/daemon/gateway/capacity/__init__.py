"""Share the capacity of services among instances."""
