"""What dispatchers agree on: one history, documents with versions, leases. No I/O, clock or chance."""
