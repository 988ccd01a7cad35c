"""Simulated maintenance of machines, on top of a simulated cluster."""
