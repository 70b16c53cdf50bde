"""Who may act on which duty, and under which epoch."""
