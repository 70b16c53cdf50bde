"""The HTTP interfaces of an instance."""
