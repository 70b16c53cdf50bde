"""Route client requests to targets."""
