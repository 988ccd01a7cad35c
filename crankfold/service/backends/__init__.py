"""The backends: their endpoints, connections, manual drains, health checks and load reports."""
