"""Dissemination of versioned records to every instance."""
