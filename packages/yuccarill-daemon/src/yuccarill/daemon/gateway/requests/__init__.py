"""Forward client requests to targets."""
