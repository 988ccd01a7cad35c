"""Takes machines out of service for maintenance, within agreed bounds. No I/O, clock or random numbers."""
