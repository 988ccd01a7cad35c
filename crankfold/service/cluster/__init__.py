"""What the members of a cluster agree on, applied to this dispatcher."""
