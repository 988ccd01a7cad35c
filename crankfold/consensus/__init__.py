"""The consensus of dispatchers: Raft, versioned documents and leases, without I/O or clock."""
