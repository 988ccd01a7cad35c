"""Crankfold: a dispatcher that pushes work units to runners."""

__version__ = "0.2.0"
