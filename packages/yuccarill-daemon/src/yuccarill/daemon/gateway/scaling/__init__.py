"""Scale services by ordering targets from the platform."""
