"""Maintenance of machines as one dispatcher takes part in it: reports, commands and admin calls."""
