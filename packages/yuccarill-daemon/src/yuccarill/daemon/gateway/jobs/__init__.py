"""Run batch jobs of text generation for trainers."""
