"""Count what client accounts use, and report it once for each window."""
