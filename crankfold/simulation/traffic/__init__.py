"""Simulated requests: dispatchers, backends, clients, discovery and faults."""
