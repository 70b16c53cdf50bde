"""Demonstration: run yuccarill on stand-ins and check its guarantees."""
