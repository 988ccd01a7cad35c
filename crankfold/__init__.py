"""Crankfold: a dispatcher that pushes work units to runners."""
