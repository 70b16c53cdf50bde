"""Controllers that do I/O for the decisions of the core."""
