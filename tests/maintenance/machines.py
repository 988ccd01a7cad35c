"""Machines for the maintenance tests."""

from crankfold.maintenance.scheduler import Machine

# Twelve machines in three zones and six cells, of two instance types and two sizes.
MACHINES = [Machine(f"m{n:02}", f"z{n % 3}", f"k{n % 2}", f"c{n % 6}", 1.0 + n % 2, n) for n in range(12)]
