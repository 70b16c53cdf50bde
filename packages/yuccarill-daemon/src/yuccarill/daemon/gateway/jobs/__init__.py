"""Run batch jobs for trainers."""
