"""Tests of the specification's clauses at their limits; docs/terms-audit.md names the test of each clause."""
