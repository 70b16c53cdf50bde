"""Order engines to switch to new versions of model weights."""
