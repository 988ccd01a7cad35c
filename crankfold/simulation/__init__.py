"""Simulated time: real policies and real consensus members among played backends, clients and faults."""
