"""Keep an instance to its part of services' capacity."""
