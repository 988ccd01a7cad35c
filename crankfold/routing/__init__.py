"""Routing decisions: which backend gets a request, when and how often, and the types that callers use."""
