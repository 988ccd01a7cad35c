"""Real processes of the program, faults injected between them, and checks of what they promise.

See docs/trial.md.
"""
