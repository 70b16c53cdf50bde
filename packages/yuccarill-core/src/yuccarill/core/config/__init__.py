"""The inventory and rules that operators apply."""
