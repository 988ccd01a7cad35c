"""Maintenance of machines within the bounds of jobs, without I/O, clock or random numbers."""
