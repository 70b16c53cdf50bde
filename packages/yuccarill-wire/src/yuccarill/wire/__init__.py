"""Messages between processes and their encoding."""
