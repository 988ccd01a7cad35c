"""Crankfold, a load balancer that pushes requests to backends."""

__version__ = "0.2.0"
