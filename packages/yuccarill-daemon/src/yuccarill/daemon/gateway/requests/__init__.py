"""Pass clients' requests on to targets."""
