"""Client accounts: who sends a request, and whether it may be run."""
