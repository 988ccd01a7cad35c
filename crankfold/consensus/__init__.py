"""Consensus among dispatchers: Raft, versioned documents and leases. Reads no clock and does no I/O."""
