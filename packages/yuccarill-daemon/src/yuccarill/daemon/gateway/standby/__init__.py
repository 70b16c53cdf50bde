"""Go on with a lost holder's texts while the store is away."""
