"""Count the requests of client accounts and report them for billing."""
