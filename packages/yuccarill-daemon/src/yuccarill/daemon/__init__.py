"""The process of one instance."""
