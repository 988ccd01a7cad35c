"""A seeded soak: real processes over loopback under many faults, judged by the users' pages alone.

`python -m tests.soak FIRST LAST` plays those seeds and reports each; CI plays a few (`test_soak.py`).
"""
