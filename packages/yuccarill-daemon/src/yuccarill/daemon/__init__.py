"""The yuccarill daemon, the process of one instance."""
