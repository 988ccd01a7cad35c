"""Backends as the endpoint list, operators, probes and load reports show them."""
