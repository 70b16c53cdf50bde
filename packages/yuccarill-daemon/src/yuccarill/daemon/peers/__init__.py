"""Message streams between instances."""
