"""The decisions: which backend gets a request, when and how often; the types by which they are called."""
