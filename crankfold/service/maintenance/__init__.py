"""Maintenance of machines at one dispatcher: reports, commands and admin calls."""
