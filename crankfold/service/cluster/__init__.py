"""The replicated configuration of a cluster, applied to this dispatcher."""
