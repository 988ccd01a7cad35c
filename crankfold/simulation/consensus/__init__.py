"""Simulated clusters: members that agree while messages, processes and disks fail."""
