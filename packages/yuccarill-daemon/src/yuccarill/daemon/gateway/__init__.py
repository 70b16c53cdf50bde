"""Route requests of clients and trainers to targets."""
