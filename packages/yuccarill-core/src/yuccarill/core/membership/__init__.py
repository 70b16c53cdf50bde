"""Which instances there are and which to use."""
