"""Sockets, storage and clock of a cluster member. Imported only for a configuration with `peers`."""
