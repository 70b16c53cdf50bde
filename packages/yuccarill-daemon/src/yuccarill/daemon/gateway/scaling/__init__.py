"""Order targets of services that are billed by the second."""
