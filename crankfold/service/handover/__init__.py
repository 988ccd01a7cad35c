"""Replacement of one process by another under load."""
