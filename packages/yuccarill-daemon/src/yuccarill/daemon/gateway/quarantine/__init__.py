"""Keep requests that crash their targets away from them."""
