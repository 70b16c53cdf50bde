"""Order engines to change weights."""
