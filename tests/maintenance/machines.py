"""Machines that the tests of maintenance share."""

from crankfold.maintenance.scheduler import Machine

# Twelve in three zones, of two instance types and two sizes, in six cells.
MACHINES = [Machine(f"m{n:02}", f"z{n % 3}", f"k{n % 2}", f"c{n % 6}", 1.0 + n % 2, n) for n in range(12)]
