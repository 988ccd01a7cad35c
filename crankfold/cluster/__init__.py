"""Members of a fleet over sockets and on disk. Not imported unless the configuration has `peers`."""
