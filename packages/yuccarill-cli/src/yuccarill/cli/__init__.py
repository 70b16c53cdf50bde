"""The command line of operators."""
