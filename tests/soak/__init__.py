"""A seeded soak: dispatcher processes on loopback under many faults, checked only against the users' pages.

`python -m tests.soak FIRST LAST` plays those seeds and reports on each; CI plays a few (`test_soak.py`).
"""
