"""A cluster member's sockets, storage and clock. Not imported unless the configuration has `peers`."""
