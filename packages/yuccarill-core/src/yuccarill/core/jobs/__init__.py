"""Schedule batch jobs of text generation and track their results."""
