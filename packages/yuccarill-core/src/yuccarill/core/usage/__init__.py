"""Count the requests of client accounts and report them once per window."""
