"""Resume a lost duty holder's texts during a store outage."""
