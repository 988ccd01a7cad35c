"""Simulated clusters, in which members reach consensus while messages, processes and disks fail."""
