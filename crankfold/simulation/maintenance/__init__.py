"""Simulated maintenance of machines, built on a simulated cluster."""
