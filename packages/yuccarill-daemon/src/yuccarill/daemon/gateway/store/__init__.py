"""Call the platform's store and follow its keys."""
