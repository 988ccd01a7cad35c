"""Trials: real dispatcher processes under injected faults, and checks of the program's guarantees.

See docs/trial.md.
"""
