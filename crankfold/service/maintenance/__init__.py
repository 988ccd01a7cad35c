"""This dispatcher's part in the maintenance of machines."""
