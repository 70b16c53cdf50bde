"""Records that spread to every instance, only ever to a higher version."""
