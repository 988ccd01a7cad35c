"""Handover: replaces a serving dispatcher process with another one without losing requests."""
