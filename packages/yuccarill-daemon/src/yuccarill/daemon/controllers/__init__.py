"""Controllers that perform the I/O for decisions made in yuccarill.core."""
