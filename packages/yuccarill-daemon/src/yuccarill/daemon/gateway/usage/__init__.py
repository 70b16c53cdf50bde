"""Count requests of client accounts, and report them under a duty."""
