"""Find out whose a request is."""
