"""Stand-ins for the systems that yuccarill depends on."""
