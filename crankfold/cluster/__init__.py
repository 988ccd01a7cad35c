"""The sockets, storage and clock of a cluster member. Imported only if the configuration has `peers`."""
